"""Rules on when an attempt has certainly ended and what may be resent.

Only after an attempt has certainly ended may the next one start.
"""

from jackdawlatch.model import work
from jackdawlatch.placement import attempts, endings


def lease_end_s(attempt: attempts.Attempt, dead: bool) -> float:
    """Return when the lease at the worker ends, whoever renewed it.

    A former leader that is cut off from the store may still renew the leases
    it knew, except on a host that the platform lists as dead.
    """
    renewed_s = attempt.lease_sent_s
    if attempt.origin is attempts.Origin.INHERITED and not dead:
        renewed_s = max(
            renewed_s, attempt.found_s + attempts.DISCONNECTED_RENEWAL_S
        )
    return renewed_s + attempts.LEASE_S + attempts.LEASE_MARGIN_S


def determine_end(
    attempt: attempts.Attempt, now_s: float, dead: bool
) -> endings.AttemptEnd | None:
    """Return how an attempt ended, or None while it may still run."""
    if attempt.end:
        return attempt.end
    if now_s >= lease_end_s(attempt, dead):
        return _expired(attempt, 'the worker was out of reach for too long')
    if attempt.missing_s and _cannot_run(attempt, now_s):
        return _expired(attempt, 'the worker does not know the task')
    return None


def needs_start(attempt: attempts.Attempt) -> bool:
    """Whether the start of an attempt should be resent.

    A worker starts a task id only once, but forgets it in a restart.  So only
    starts of idempotent jobs, which may run twice, are resent.
    """
    job = attempt.job
    open_start = job.state is work.JobState.ASSIGNED and not attempt.confirmed
    inherited_not_resent = (
        attempt.origin is attempts.Origin.INHERITED and not attempt.starts_sent
    )
    outcome_unknown = inherited_not_resent or attempt.starts_unanswered > 0
    return open_start and outcome_unknown and job.idempotent and not job.cancel


def needs_start_check(attempt: attempts.Attempt) -> bool:
    """Whether to ask the worker if it got the start.

    The start of a job that is not idempotent is never repeated.  Only the
    worker, in the boot that the start was recorded for, can tell.
    """
    job = attempt.job
    open_start = job.state is work.JobState.ASSIGNED and not attempt.confirmed
    inherited = attempt.origin is attempts.Origin.INHERITED
    outcome_unknown = inherited or attempt.starts_unanswered > 0
    must_run_once = bool(job.boot) and not job.idempotent
    checked = attempt.start_checked or attempt.end is not None
    return open_start and outcome_unknown and must_run_once and not checked


def end_of_refused_start(
    attempt: attempts.Attempt, reason: str
) -> endings.AttemptEnd | None:
    """Return the end of an attempt whose start was refused, if it is certain.

    After an unanswered start, or one that a former leader may have sent, only
    the end of the lease is certain.
    """
    only_sender = (
        attempt.origin is attempts.Origin.OWN and attempt.starts_sent == 1
    )
    if not only_sender or attempt.starts_unanswered:
        return None
    return endings.AttemptEnd(
        attempt=attempt.job.attempt,
        ending=endings.Ending.NEVER_STARTED,
        reason=reason,
        retry_s=0,
    )


def _cannot_run(attempt: attempts.Attempt, now_s: float) -> bool:
    """Whether a task that its worker does not know can't run any more."""
    if now_s < attempt.missing_s + attempts.USAGE_LAG_S:
        return False
    if attempt.usage_read_s < attempt.missing_s + attempts.USAGE_LAG_S:
        # Its end may be in a usage report that was not read yet.
        return False
    if attempt.confirmed_before:
        return True
    # A start request that is still in transit may arrive late.
    return (
        now_s
        >= attempt.start_sent_s + attempts.LEASE_S + attempts.LEASE_MARGIN_S
    )


def _expired(attempt: attempts.Attempt, reason: str) -> endings.AttemptEnd:
    return endings.AttemptEnd(
        attempt=attempt.job.attempt,
        ending=endings.Ending.EXPIRED,
        reason=reason,
    )
