"""Keys and records of jobs in the platform's store."""

import enum

import msgspec

from jackdawlatch.jobs import start_rests
from jackdawlatch.model import records

WORK_PREFIX = 'work/'
JOBS_PREFIX = 'work/jobs/'
CANCELS_PREFIX = 'work/cancels/'
PROGRESS_PREFIX = 'progress/'
WAVES_PREFIX = 'waves/'
FLEET_PREFIX = 'fleet/'
LEADER_KEY = 'fleet/leader'
PENDING_KEY = 'fleet/pending'
LEASES_KEY = 'fleet/leases'
LOAD_KEY = 'fleet/load'
# No process watches it.
FENCE_KEY = 'fence'


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
    run.  ``crashed_attempts`` lists the attempts in a row whose worker crashed
    soon after the start, as far as is known, and ``proven_crashes`` those of
    them that certainly ran on it.  ``stalls`` is how many attempts made no
    progress for too long.  ``lease_left_s`` is how long the lease of the worker
    might last when this was written, 0 if not longer than leaders grant.
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
    # Earlier releases stored the rest of a lease here.
    unused: float | None = None
    crashed_attempts: tuple[int, ...] = ()
    proven_crashes: tuple[int, ...] = ()
    stalls: int = 0
    lease_left_s: float = 0


class Progress(records.Record, frozen=True, kw_only=True):
    """The mutable state of a job."""

    phase: JobPhase = JobPhase.QUEUED
    ended_s: float = 0
    tasks: tuple[TaskProgress, ...] = ()


class Cancel(records.Record, frozen=True, kw_only=True):
    """A caller's request to end the job."""

    asked_s: float


class Leader(records.Record, frozen=True, kw_only=True):
    """The process that leads.

    ``records_leases`` is false for earlier releases, which extend leases
    without clearing their records.
    """

    name: str
    records_leases: bool = False


class LeaseRest(msgspec.Struct, frozen=True, array_like=True):
    """How long the lease of an unreachable worker may last.

    ``worker`` and ``born_ms`` identify one boot of the worker, and ``episode``
    its loss.  ``left_s`` counts from when it is read; it is negative if the
    lease has ended.
    """

    worker: str
    born_ms: int
    episode: str
    left_s: float


class Leases(records.Record, frozen=True, kw_only=True):
    """The leases that the leader does not extend, and unanswered starts."""

    rests: tuple[LeaseRest, ...] = ()
    starts: tuple[start_rests.StartRest, ...] = ()
    late_starts: tuple[start_rests.LateStartRest, ...] = ()


class Maintenance(msgspec.Struct, frozen=True, array_like=True):
    """The maintenance of one machine of a wave.

    ``begun`` is false while it is not known whether the request for it takes
    effect.  ``left_s`` is how long the machine may be down, and counts from
    when it is read; it is not positive if the machine is up again.
    """

    machine: str
    begun: bool
    left_s: float


class WaveProgress(records.Record, frozen=True, kw_only=True):
    """The machines of a wave whose maintenance was requested.

    ``began_s`` is the wall-clock time from which its duration counts; earlier
    releases stored 0.
    """

    maintenance: tuple[Maintenance, ...] = ()
    began_s: float = 0


class Pending(records.Record, frozen=True, kw_only=True):
    """Number of accepted jobs of each queue that have not begun."""

    counts_by_queue: dict[str, int]
