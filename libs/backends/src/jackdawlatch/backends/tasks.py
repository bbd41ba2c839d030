"""Messages of the workers' HTTP protocol."""

import enum

from jackdawlatch.model import hosts, records


class TaskState(enum.StrEnum):
    """State of a task; all but ``RUNNING`` are final."""

    RUNNING = 'running'
    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    EXPIRED = 'expired'
    CHECKPOINTED = 'checkpointed'


class Task(records.Record, frozen=True, kw_only=True):
    """A task to start; ``id`` is ``<job>:<attempt>``.

    The task stops unless its lease is renewed within ``lease_s``.
    ``checkpoint`` is the token of an earlier attempt to resume.  A worker
    refuses the task if its boot id differs from ``boot``, unless that is empty.
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
    """A worker's report of a task.

    ``processors`` and ``memory_mb`` are its actual usage, ``progress`` is the
    fraction of its work that is done, ``ended_s`` is in seconds since the
    epoch.
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
    """A worker's capacity and its tasks' usage, some seconds old.

    ``boot`` is the boot id of the worker; it changes with each restart.
    """

    capacity: hosts.Capacity
    boot: str = ''
    tasks: tuple[TaskReport, ...] = ()


class Renewal(records.Record, frozen=True, kw_only=True):
    """A request to extend the leases of running tasks."""

    ids: tuple[str, ...]
    lease_s: float


class Unknown(records.Record, frozen=True, kw_only=True):
    """The ids of a renewal that the worker has never started.

    It may have lost them in a reboot.  Tasks that have ended are not listed.
    """

    unknown: tuple[str, ...] = ()


class Forbidden(records.Record, frozen=True, kw_only=True):
    """Confirms that a worker won't start a task during its current boot.

    ``started`` tells whether the task was started before.
    """

    boot: str
    started: bool


class Token(records.Record, frozen=True, kw_only=True):
    """A checkpoint token that another attempt can resume from."""

    checkpoint: str


class Throttle(records.Record, frozen=True, kw_only=True):
    """The fraction of its processors that a task may use, 0 to 1."""

    fraction: float
