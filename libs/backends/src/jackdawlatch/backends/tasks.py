"""What is said to workers and by them, as their protocol has it."""

import enum

from jackdawlatch.model import hosts, records


class TaskState(enum.StrEnum):
    """Where a task is; all but ``RUNNING`` are final."""

    RUNNING = 'running'
    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    EXPIRED = 'expired'
    CHECKPOINTED = 'checkpointed'


class Task(records.Record, frozen=True, kw_only=True):
    """A task to start; ``id`` is ``<job>:<attempt>``.

    The task stops unless its lease is renewed within ``lease_s``.
    ``checkpoint`` is the token of an earlier attempt to go on from.  A worker
    whose present life has another ``boot`` refuses; an empty one suits any.
    """

    id: str
    processors: float = 0
    memory_mb: float = 0
    accelerators: float = 0
    command: str = ''
    lease_s: float
    checkpoint: str = ''
    boot: str = ''


class TaskReport(records.Record, frozen=True, kw_only=True):
    """What a worker says of a task.

    ``processors`` and ``memory_mb`` are what it really uses, ``progress`` is
    the part of its work that is done, ``ended_s`` seconds since the epoch.
    """

    id: str
    state: TaskState
    processors: float = 0
    memory_mb: float = 0
    progress: float = 0
    checkpoint: str = ''
    ended_s: float = 0
    reason: str = ''


class Usage(records.Record, frozen=True, kw_only=True):
    """What a worker has and what its tasks use; it lags by some seconds.

    ``boot`` names the present life of the worker.
    """

    capacity: hosts.Capacity
    boot: str = ''
    tasks: tuple[TaskReport, ...] = ()


class Renewal(records.Record, frozen=True, kw_only=True):
    """Asks to extend the leases of running tasks."""

    ids: tuple[str, ...]
    lease_s: float


class Unknown(records.Record, frozen=True, kw_only=True):
    """The ids of a renewal that the worker has never started.

    It may have forgotten them in a reboot.  Tasks that ended are known.
    """

    unknown: tuple[str, ...] = ()


class Forbidden(records.Record, frozen=True, kw_only=True):
    """Says that a task can't be started any more in this life of a worker.

    ``started`` says that it was started before.
    """

    boot: str
    started: bool


class Token(records.Record, frozen=True, kw_only=True):
    """From which another attempt can go on."""

    checkpoint: str


class Throttle(records.Record, frozen=True, kw_only=True):
    """The part of its processors that a task may use, 0 to 1."""

    fraction: float
