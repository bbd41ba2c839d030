"""The HTTP handlers of jobs."""

from returns import result

from jackdawlatch.entry import answers, jobs, server

ACCEPTED = 202
OK = 200


class JobHandler(server.CallerHandler):
    """Replies with a job or a failure."""

    def reply_with_job(self, outcome: jobs.Outcome, status: int) -> None:
        """Write the reply for a job or a failure."""
        if isinstance(outcome, result.Failure):
            self.fail(outcome.failure())
            return
        job = outcome.unwrap()
        self.reply(answers.json_reply(status, job, self.request_id()))


class SubmitHandler(JobHandler):
    """Accepts new jobs."""

    async def post(self) -> None:
        """Store the job; reply 202 once it is stored."""
        outcome = await self.jobs.submit(self.received())
        self.reply_with_job(outcome, ACCEPTED)


class OneJobHandler(JobHandler):
    """Returns or cancels one job."""

    async def get(self, job_id: str) -> None:
        """Return the job."""
        outcome = await self.jobs.find(job_id)
        self.reply_with_job(outcome, OK)

    async def delete(self, job_id: str) -> None:
        """Cancel the job and return it."""
        outcome = await self.jobs.cancel(job_id)
        self.reply_with_job(outcome, OK)


ROUTES = (
    (jobs.JOBS_PATH, SubmitHandler),
    (f'{jobs.JOBS_PATH}/([^/]+)', OneJobHandler),
)
