"""What became of the acknowledged jobs of a soak."""

import collections
from collections.abc import Iterator, Mapping

from jackdawlatch.model import work
from jackdawlatch.standins import bench, job_steps, oracle

FINAL_STATES = frozenset(
    (
        work.JobState.DONE,
        work.JobState.FAILED,
        work.JobState.CANCELLED,
        work.JobState.LOST,
    )
)
UNSEEN = 'unseen'


class JobVerdict:
    """Asks for each job until it is final, and counts its starts."""

    def __init__(
        self,
        on: bench.Bench,
        submissions_by_job: Mapping[str, job_steps.Submission],
    ) -> None:
        self._on = on
        self._submissions_by_job = submissions_by_job
        self._states_by_job: dict[str, str] = {}

    async def are_final(self) -> bool:
        """Ask for the jobs that were not final; return whether all are."""
        for job in self._submissions_by_job:
            if self._states_by_job.get(job) not in FINAL_STATES:
                found = await job_steps.state(self._on, job)
                self._states_by_job[job] = found.state if found else UNSEEN
        return set(self._states_by_job.values()) <= FINAL_STATES

    def counts(self) -> collections.Counter[str]:
        """Return how many jobs are in each state."""
        return collections.Counter(self._states_by_job.values())

    def violations(self) -> Iterator[oracle.Violation]:
        """Yield each job that is lost, or was started again."""
        starts_by_job = collections.Counter(
            start.id.partition(':')[0]
            for start in oracle.tasks_run(self._on.directory)
        )
        for job, submission in self._submissions_by_job.items():
            state = self._states_by_job.get(job, UNSEEN)
            yield from _judge(job, submission, state, starts_by_job[job])


def _judge(
    job: str, submission: job_steps.Submission, state: str, starts: int
) -> Iterator[oracle.Violation]:
    once = not submission.idempotent
    lost = once and starts == 1 and state == work.JobState.LOST
    if state != work.JobState.DONE and not lost:
        yield oracle.Violation('a job is not done', job, state)
    if state == work.JobState.DONE and not starts:
        yield oracle.Violation('a job is done, and never ran', job)
    if once and starts > 1:
        yield oracle.Violation('a job started again', job, f'{starts} times')
