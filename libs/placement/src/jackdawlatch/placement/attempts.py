"""What the leader knows of the attempts that workers may be running.

None of it is stored: the next leader starts from the job registry alone and
asks the workers.  Times are seconds of this process's monotonic clock, so that
changes of the wall clock have no effect.
"""

import dataclasses
import enum

from jackdawlatch.model import hosts, records, work
from jackdawlatch.placement import endings, usage

LEASE_S = 20
LEASE_MARGIN_S = 4
# A leader that can't reach the store renews leases for this long.
DISCONNECTED_RENEWAL_S = 900
# A worker's usage report lists an ended task within this time.
USAGE_LAG_S = 5


class Origin(enum.Enum):
    """How this process learned of an attempt."""

    OWN = 'recorded by this process in this term'
    INHERITED = 'found in the book'


@dataclasses.dataclass
class Attempt:
    """One attempt: the calls sent for it and the answers of its worker.

    Fields:

    - ``lease_sent_s``: when the last start or renewal that may have arrived
      was sent.
    - ``start_sent_s``: when the last such start was sent.
    - ``confirmed_s``: when the worker last confirmed the task.  These three
      are initially the time when the attempt was found.
    - ``missing_s``: when the worker first answered that it does not know the
      task; 0 while it knows it.
    - ``usage_read_s``: when the last successful read of the worker's usage
      was sent.
    - ``peak``: peak usage observed at full speed.
    - ``call_in_progress``: whether a call about the attempt is in progress.
    - ``reserved``: what the worker was asked to reserve.
    - ``start_checked``: whether the worker has answered if it got the start.
    """

    job: work.Job
    origin: Origin
    found_s: float
    lease_sent_s: float = 0
    start_sent_s: float = 0
    confirmed_s: float = 0
    starts_sent: int = 0
    starts_unanswered: int = 0
    confirmed: bool = False
    missing_s: float = 0
    usage_read_s: float = 0
    end: endings.AttemptEnd | None = None
    peak: hosts.Capacity | None = None
    leaving: bool = False
    call_in_progress: bool = False
    start_checked: bool = False
    fraction: float = 1
    reserved: hosts.Capacity | None = None
    throttled_s: float = -USAGE_LAG_S

    def __post_init__(self) -> None:
        """Set the times to when the attempt was found."""
        self.lease_sent_s = self.found_s
        self.start_sent_s = self.found_s
        self.confirmed_s = self.found_s

    @property
    def task_id(self) -> str:
        """Return the id of the task at the worker."""
        job = self.job
        return f'{job.id}:{job.attempt}'

    @property
    def confirmed_before(self) -> bool:
        """Whether the worker is known to have started the task."""
        return self.confirmed or self.job.state is work.JobState.RUNNING


def record_start_sent(attempt: Attempt, now_s: float) -> None:
    """Record a start that was sent and may arrive."""
    attempt.lease_sent_s = now_s
    attempt.start_sent_s = now_s


def record_start_refused(
    attempt: Attempt, sent_s: float, lease_sent_s: float, start_sent_s: float
) -> None:
    """Record that the start sent at ``sent_s`` was refused.

    It can't arrive any more, so the times are those before it was sent,
    except where a later call has changed them.
    """
    if attempt.lease_sent_s == sent_s:
        attempt.lease_sent_s = lease_sent_s
    if attempt.start_sent_s == sent_s:
        attempt.start_sent_s = start_sent_s


def record_confirmation(attempt: Attempt, now_s: float) -> None:
    """Record that the worker has the task."""
    attempt.confirmed = True
    attempt.missing_s = 0
    attempt.confirmed_s = now_s


def should_renew(attempt: Attempt, now_s: float) -> bool:
    """Whether the lease of an attempt should be renewed.

    After a whole lease without an answer the task has ended unless a renewal
    arrived.  Further renewals would only delay the time when that is certain.
    """
    if attempt.end or now_s - attempt.confirmed_s > LEASE_S:
        return False
    return attempt.origin is Origin.INHERITED or attempt.starts_sent > 0


def record_missing(attempt: Attempt, now_s: float) -> None:
    """Record that the worker does not know the task."""
    if not attempt.missing_s:
        attempt.missing_s = now_s


def record_usage(
    attempt: Attempt, reading: hosts.Capacity, now_s: float
) -> None:
    """Record a usage reading of the task.

    Processor readings of a throttled task, or from shortly after a change of
    the limit, do not show its full speed and leave a known peak unchanged.
    """
    record_confirmation(attempt, now_s)
    lag_passed = now_s - attempt.throttled_s > USAGE_LAG_S
    peak = usage.decayed_peak(attempt.peak, reading)
    if attempt.peak and not (attempt.fraction == 1 and lag_passed):
        peak = records.replace(peak, processors=attempt.peak.processors)
    attempt.peak = peak


def record_throttle(attempt: Attempt, fraction: float, now_s: float) -> None:
    """Record that the worker limits the task to a fraction."""
    attempt.fraction = fraction
    attempt.throttled_s = now_s
