"""The HTTP handlers of jobs."""

from returns import result

from jackdawlatch.entry import answers, jobs, server

ACCEPTED = 202
OK = 200


class JobHandler(server.CallerHandler):
    """Answers with a job, or with why there is none."""

    def tell(self, outcome: jobs.Outcome, status: int) -> None:
        """Write the reply for a job or a failure."""
        if isinstance(outcome, result.Failure):
            self.fail(outcome.failure())
            return
        job = outcome.unwrap()
        self.reply(answers.as_json(status, job, self.request_id()))


class SubmitHandler(JobHandler):
    """Takes new jobs."""

    async def post(self) -> None:
        """Keep a job and answer 202."""
        refused = self.refusal()
        if refused is not None:
            self.fail(refused)
            return
        with self.desk.counting():
            outcome = await self.jobs.submit(self.received())
        self.tell(outcome, ACCEPTED)


class OneJobHandler(JobHandler):
    """Shows and cancels one job."""

    async def get(self, job_id: str) -> None:
        """Answer the job."""
        with self.desk.counting():
            outcome = await self.jobs.find(job_id)
        self.tell(outcome, OK)

    async def delete(self, job_id: str) -> None:
        """Cancel the job."""
        with self.desk.counting():
            outcome = await self.jobs.cancel(job_id)
        self.tell(outcome, OK)


ROUTES = (
    (jobs.JOBS_PATH, SubmitHandler),
    (f'{jobs.JOBS_PATH}/([^/]+)', OneJobHandler),
)
