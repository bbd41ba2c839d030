"""Keys and records of jobs in the platform's store."""

import enum

import msgspec

from jackdawlatch.model import records

WORK_PREFIX = 'work/'
JOBS_PREFIX = 'work/jobs/'
CANCELS_PREFIX = 'work/cancels/'
PROGRESS_PREFIX = 'progress/'
FLEET_PREFIX = 'fleet/'
LEADER_KEY = 'fleet/leader'
PENDING_KEY = 'fleet/pending'


class JobPhase(enum.StrEnum):
    """The state of a job as reported to callers."""

    QUEUED = 'queued'
    RUNNING = 'running'
    DONE = 'done'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


ENDED = frozenset((JobPhase.DONE, JobPhase.FAILED, JobPhase.CANCELLED))


class TaskProgress(
    msgspec.Struct, frozen=True, array_like=True, omit_defaults=True
):
    """A task that was started at least once.

    An end that was not acknowledged is reported again to the next leader, so
    ``failed_attempts`` lists the attempts that failed instead of counting them.
    ``worker`` and ``born_ms`` identify the worker process on which ``attempt``
    may still run, and ``machine`` its machine; they are empty when it does not
    run.  ``lease_left_s`` is how long its lease may last, None if unknown.
    ``crashed_attempts`` lists the attempts in a row whose worker crashed soon
    after the start.
    """

    occurrence: int
    step: int
    index: int
    attempt: int
    failed_attempts: tuple[int, ...] = ()
    done: bool = False
    worker: str = ''
    born_ms: int = 0
    checkpoint: str = ''
    machine: str = ''
    lease_left_s: float | None = None
    crashed_attempts: tuple[int, ...] = ()


class Progress(records.Record, frozen=True, kw_only=True):
    """The mutable state of a job."""

    phase: JobPhase = JobPhase.QUEUED
    ended_s: float = 0
    tasks: tuple[TaskProgress, ...] = ()


class Cancel(records.Record, frozen=True, kw_only=True):
    """A caller's request to end the job."""

    asked_s: float


class Leader(records.Record, frozen=True, kw_only=True):
    """The process that leads."""

    name: str


class Pending(records.Record, frozen=True, kw_only=True):
    """Number of accepted jobs of each queue that have not begun."""

    counts_by_queue: dict[str, int]
