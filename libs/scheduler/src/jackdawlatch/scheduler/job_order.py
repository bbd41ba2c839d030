"""Which job goes first when there is not room for all."""

import abc
import dataclasses

from jackdawlatch.jobs import queues
from jackdawlatch.scheduler import tasks

# Jobs of queues that are no longer configured go last.
LAST_PRIORITY = 99


@dataclasses.dataclass(frozen=True)
class Moment:
    """The time of a planning round on both clocks."""

    steady_s: float
    wall_s: float


class Order(abc.ABC):
    """Which job goes first; a lower key does."""

    @abc.abstractmethod
    def key(self, job: tasks.JobState, moment: Moment) -> tuple[float, ...]:
        """Return the sort key of a job."""


class ObjectiveOrder(Order):
    """By priority; then what can meet its objective, least work first."""

    def key(self, job: tasks.JobState, moment: Moment) -> tuple[float, ...]:
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
        late = is_late(job, moment.wall_s)
        return (not lasting, late, priority, work)


def is_late(job: tasks.JobState, wall_s: float) -> bool:
    """Whether a job would miss its latency objective if it went on now."""
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
