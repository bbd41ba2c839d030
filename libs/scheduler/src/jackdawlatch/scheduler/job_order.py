"""The order in which jobs are placed."""

import abc
import weakref

from jackdawlatch.policy import precedence
from jackdawlatch.scheduler import lateness, round_times, tasks

# Priority of jobs whose queue is no longer configured: they go last.
LAST_PRIORITY = 99
# Weight of the latest job in the mean work of its queue.
LEARNING_RATE = 0.05


class Order(abc.ABC):
    """An order of jobs; the lowest key goes first."""

    @abc.abstractmethod
    def key(
        self, job: tasks.JobState, now: round_times.RoundTime
    ) -> tuple[float, ...]:
        """Return the sort key of a job."""


class ObjectiveOrder(Order):
    """Orders jobs by what it costs their callers to wait."""

    def __init__(self, job_lateness: lateness.Lateness) -> None:
        self._lateness = job_lateness
        self._sizes = _JobSizes()

    def key(
        self, job: tasks.JobState, now: round_times.RoundTime
    ) -> tuple[float, ...]:
        """Return the sort key of a job."""
        queue = job.queue
        standing = self._lateness.standing(job, now)
        return precedence.key(
            precedence.Candidate(
                lasting=job.lasting,
                within_share=job.claim.within_share,
                priority=queue.priority if queue else LAST_PRIORITY,
                slack_s=standing.slack_s,
                objective_s=standing.objective_s,
                work=_work_left(job),
                total_work=self._sizes.work(job),
                mean_work=self._sizes.mean_work(job.job.queue),
            )
        )


class _JobSizes:
    """The work of each job, and the mean of its queue."""

    def __init__(self) -> None:
        self._work_by_job: weakref.WeakKeyDictionary[tasks.JobState, float] = (
            weakref.WeakKeyDictionary()
        )
        self._mean_work_by_queue: dict[str, float] = {}

    def work(self, job: tasks.JobState) -> float:
        """Return the work of a job, and count it once."""
        work = self._work_by_job.get(job)
        if work is None:
            work = sum(
                state.step.count
                * state.step.estimate_s
                * state.step.room.processors_m
                for state in job.steps
            )
            self._work_by_job[job] = work
            name = job.job.queue
            mean_work = self._mean_work_by_queue.get(name, work)
            mean_work += LEARNING_RATE * (work - mean_work)
            self._mean_work_by_queue[name] = mean_work
        return work

    def mean_work(self, queue: str) -> float:
        """Return the mean work of the jobs of a queue that were counted."""
        return self._mean_work_by_queue.get(queue, 0)


def _work_left(job: tasks.JobState) -> float:
    return sum(
        (state.step.count - state.done_count)
        * state.step.estimate_s
        * state.step.room.processors_m
        for state in job.steps
    )
