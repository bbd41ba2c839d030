"""The order in which jobs are placed."""

import abc
import dataclasses

from jackdawlatch.jobs import queues
from jackdawlatch.scheduler import tasks

# Priority of jobs whose queue is no longer configured: they go last.
LAST_PRIORITY = 99


@dataclasses.dataclass(frozen=True)
class RoundTime:
    """The time of a planning round, on both clocks."""

    monotonic_s: float
    wall_s: float


class Order(abc.ABC):
    """An order of jobs; the lowest key goes first."""

    @abc.abstractmethod
    def key(self, job: tasks.JobState, now: RoundTime) -> tuple[float, ...]:
        """Return the sort key of a job."""


class ObjectiveOrder(Order):
    """Lasting jobs first, then those in time, by priority, least work first."""

    def key(self, job: tasks.JobState, now: RoundTime) -> tuple[float, ...]:
        """Return the sort key of a job."""
        queue = job.queue
        priority = queue.priority if queue else LAST_PRIORITY
        lasting = any(step.lasting for step in job.job.steps)
        work = sum(
            (state.step.count - state.done_count)
            * state.step.estimate_s
            * state.step.room.processors_m
            for state in job.steps
        )
        late = is_late(job, now.wall_s)
        return (not lasting, late, priority, work)


def is_late(job: tasks.JobState, wall_s: float) -> bool:
    """Whether a job would miss its latency objective if it continued now."""
    if any(step.lasting for step in job.job.steps):
        return False
    return wall_s > _latest_s(job, job.queue)


def _latest_s(job: tasks.JobState, queue: queues.Queue | None) -> float:
    if queue is None:
        return job.job.accepted_s
    chain_s = sum(step.estimate_s for step in job.job.steps)
    left_s = sum(state.step.estimate_s for state in job.steps if not state.done)
    latest_s = queue.slack_factor * chain_s + queue.target_s - left_s
    return job.job.accepted_s + latest_s
