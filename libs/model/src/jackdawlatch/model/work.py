"""Kinds of work, and the requests and jobs that callers submit."""

import enum

from jackdawlatch.model import hosts, records


class Urgency(enum.StrEnum):
    """How soon an answer is needed."""

    URGENT = 'urgent'
    NORMAL = 'normal'
    BATCH = 'batch'


class Kind(records.Record, frozen=True, kw_only=True):
    """The unit of fair sharing: one service, one team, one urgency."""

    service: str
    team: str = 'default'
    urgency: Urgency = Urgency.NORMAL


class Request(records.Record, frozen=True, kw_only=True):
    """A complete request of a caller.

    ``id`` is unique for each request accepted.  ``deadline_s`` is seconds
    since the epoch.  ``key`` is the caller's idempotency key, empty if there
    is none.  ``path`` starts with a slash and includes the query.
    """

    id: str
    kind: Kind
    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    deadline_s: float
    key: str = ''
    idempotent: bool = True


class Answer(records.Record, frozen=True, kw_only=True):
    """The complete answer of a target."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''


class JobState(enum.StrEnum):
    """The state of a job; ``DONE`` and the three after it are final.

    ``LOST`` means that a non-idempotent job was started and its outcome is
    unknown: it is never started again.
    """

    QUEUED = 'queued'
    ASSIGNED = 'assigned'
    RUNNING = 'running'
    DONE = 'done'
    FAILED = 'failed'
    CANCELLED = 'cancelled'
    LOST = 'lost'


class Job(records.Record, frozen=True, kw_only=True):
    """A job as it is stored.

    Times are seconds since the epoch.  ``declared`` and ``run_time_s`` are
    the caller's estimates, which may be far off.  ``attempt`` counts starts.
    ``not_before_s`` is when the worker's lease on the last attempt expires;
    the job is not started again before, so that attempts don't overlap.
    ``boot`` is the boot ID of the worker for which the last attempt was
    recorded, empty if unknown.
    """

    id: str
    kind: Kind
    declared: hosts.Capacity
    run_time_s: float
    command: str = ''
    idempotent: bool = True
    submitted_s: float = 0
    state: JobState = JobState.QUEUED
    host: str = ''
    attempt: int = 0
    boot: str = ''
    not_before_s: float = 0
    started_s: float = 0
    ended_s: float = 0
    checkpoint: str = ''
    cancel: bool = False
    reason: str = ''
