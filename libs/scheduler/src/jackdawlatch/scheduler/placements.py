"""Tasks that are placed on workers, and steps whose tasks wait."""

import dataclasses
import enum

from jackdawlatch.scheduler import reservations, tasks, workers


@dataclasses.dataclass(frozen=True)
class Placement:
    """A task to be started on a worker."""

    task: tasks.Task
    worker: workers.Worker
    attempt: int
    ticket: str = ''


class WaitReason(enum.Enum):
    """Why a ready task was not placed.

    ``SPREAD``: each worker with room runs as many tasks of its step as may share
    one.  ``RESTRICTED``: workers with room are excluded by the gang, the rack or
    the tickets of its step, or by a start that another one may carry out late.
    ``WITHHELD``: its job is late, and the workers with room are kept free to move
    to other services.  ``QUOTA``: the runs of its team hold as much as they may.
    """

    NO_WORKER = 'no-worker'
    UNUSABLE = 'workers-unusable'
    SUSPENDED = 'workers-suspended'
    NO_ROOM = 'no-room'
    SPREAD = 'spread'
    RESTRICTED = 'step-restricted'
    WITHHELD = 'workers-withheld'
    QUOTA = 'team-quota'


@dataclasses.dataclass(frozen=True)
class Wait:
    """A ready step with tasks that were not placed."""

    state: tasks.StepState
    reason: WaitReason
    counts: reservations.WorkerCounts
