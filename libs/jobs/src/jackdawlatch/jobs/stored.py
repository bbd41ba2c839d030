"""The keys and records that jobs have in the platform's store."""

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
    """What callers are told of a job."""

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

    An end is listed again to the next leader if it was not acknowledged, so
    ``failed_attempts`` names each attempt that failed, not their number.
    ``worker`` and ``born_ms`` name the life of a worker on which ``attempt``
    may still run; empty when it does not.
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


class Progress(records.Record, frozen=True, kw_only=True):
    """The mutable part of a job."""

    phase: JobPhase = JobPhase.QUEUED
    ended_s: float = 0
    tasks: tuple[TaskProgress, ...] = ()


class Cancel(records.Record, frozen=True, kw_only=True):
    """A caller's wish that the job ends."""

    asked_s: float


class Leader(records.Record, frozen=True, kw_only=True):
    """Who leads."""

    name: str


class Pending(records.Record, frozen=True, kw_only=True):
    """How many accepted jobs of each queue have not begun."""

    counts_by_queue: dict[str, int]
