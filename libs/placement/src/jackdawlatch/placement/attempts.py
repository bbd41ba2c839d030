"""What a leader knows of the attempts that workers may be running.

Nothing of it is stored: the next leader starts from the job book alone and
asks the workers.  Times are seconds of this process's monotonic clock, so
that a step of a wall clock changes nothing.
"""

import dataclasses
import enum

from jackdawlatch.model import hosts, records, work
from jackdawlatch.placement import endings, usage

LEASE_S = 20
MARGIN_S = 4
# A leader that lost sight of the store renews leases for so long.
UNRECORDED_S = 900
# A task that ended is listed by its worker's usage within this time.
USAGE_LAG_S = 5


class Origin(enum.Enum):
    """Where this process has an attempt from."""

    OWN = 'recorded by this process in this term'
    INHERITED = 'found in the book'


@dataclasses.dataclass
class Attempt:
    """One attempt: what was sent about it, and what its worker said.

    ``sent_s`` is when a start or renewal that may have arrived was last
    sent, ``start_s`` the same for starts, ``answered_s`` when the worker
    last confirmed the task; all three begin with when the attempt was
    found.  ``missing_s`` is when the worker
    first said that it does not know the task, zero while it does.
    ``listed_s`` is when its worker's usage was last asked for with success,
    ``peak`` what it was seen to use at full speed.  ``busy`` says that a
    call about it is under way, ``held`` what the worker was asked to hold,
    ``settled`` that the worker was asked whether it ever got the start.
    """

    job: work.Job
    origin: Origin
    found_s: float
    sent_s: float = 0
    start_s: float = 0
    answered_s: float = 0
    starts_sent: int = 0
    starts_unanswered: int = 0
    confirmed: bool = False
    missing_s: float = 0
    listed_s: float = 0
    end: endings.Ended | None = None
    peak: hosts.Capacity | None = None
    leaving: bool = False
    busy: bool = False
    settled: bool = False
    fraction: float = 1
    held: hosts.Capacity | None = None
    throttled_s: float = -USAGE_LAG_S

    def __post_init__(self) -> None:
        """Begin all times with when the attempt was found."""
        self.sent_s = self.found_s
        self.start_s = self.found_s
        self.answered_s = self.found_s

    @property
    def task_id(self) -> str:
        """Return the id under which the worker knows the attempt."""
        job = self.job
        return f'{job.id}:{job.attempt}'

    @property
    def confirmed_before(self) -> bool:
        """Whether its worker is known to have started it."""
        return self.confirmed or self.job.state is work.JobState.RUNNING


def start_sent(attempt: Attempt, now_s: float) -> None:
    """Take note of a start that is on its way, or may be."""
    attempt.sent_s = now_s
    attempt.start_s = now_s


def confirm(attempt: Attempt, now_s: float) -> None:
    """Take note that the worker has the task."""
    attempt.confirmed = True
    attempt.missing_s = 0
    attempt.answered_s = now_s


def renewable(attempt: Attempt, now_s: float) -> bool:
    """Whether it is of use to renew the lease of an attempt.

    After a whole lease without an answer the task has ended, unless a
    renewal arrived; to go on would put off the moment when that is sure.
    """
    if attempt.end or now_s - attempt.answered_s > LEASE_S:
        return False
    return attempt.origin is Origin.INHERITED or attempt.starts_sent > 0


def miss(attempt: Attempt, now_s: float) -> None:
    """Take note that the worker does not know the task."""
    if not attempt.missing_s:
        attempt.missing_s = now_s


def observe(attempt: Attempt, reading: hosts.Capacity, now_s: float) -> None:
    """Take note of what the task was seen to use.

    Readings of a throttled task say nothing of its full speed.
    """
    confirm(attempt, now_s)
    settled = now_s - attempt.throttled_s > USAGE_LAG_S
    peak = usage.peak_of(attempt.peak, reading)
    if attempt.peak and not (attempt.fraction == 1 and settled):
        peak = records.replace(peak, processors=attempt.peak.processors)
    attempt.peak = peak


def throttled(attempt: Attempt, fraction: float, now_s: float) -> None:
    """Take note that the worker limits the task to a fraction."""
    attempt.fraction = fraction
    attempt.throttled_s = now_s
