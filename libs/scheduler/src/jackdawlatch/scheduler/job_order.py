"""The order in which jobs are placed."""

import abc

from jackdawlatch.scheduler import lateness, round_times, tasks

# Priority of jobs whose queue is no longer configured: they go last.
LAST_PRIORITY = 99


class Order(abc.ABC):
    """An order of jobs; the lowest key goes first."""

    @abc.abstractmethod
    def key(
        self, job: tasks.JobState, now: round_times.RoundTime
    ) -> tuple[float, ...]:
        """Return the sort key of a job."""


class ObjectiveOrder(Order):
    """Lasting jobs first, then those in time, by priority, least work first."""

    def __init__(self, job_lateness: lateness.Lateness) -> None:
        self._lateness = job_lateness

    def key(
        self, job: tasks.JobState, now: round_times.RoundTime
    ) -> tuple[float, ...]:
        """Return the sort key of a job."""
        queue = job.queue
        priority = queue.priority if queue else LAST_PRIORITY
        work = sum(
            (state.step.count - state.done_count)
            * state.step.estimate_s
            * state.step.room.processors_m
            for state in job.steps
        )
        late = self._lateness.is_late(job, now)
        return (
            not job.lasting,
            not job.claim.within_share,
            late,
            priority,
            work,
        )
