"""Whether an attempt has surely ended, so that another one may start."""

from jackdawlatch.model import work
from jackdawlatch.placement import attempts, endings


def lease_end_s(attempt: attempts.Attempt, dead: bool) -> float:
    """Return when the lease at the worker has run out, whoever renewed it.

    A former leader that is cut off from the store may go on renewing what
    it knew; only a host that the platform lists as dead rules that out.
    """
    renewed_s = attempt.sent_s
    if attempt.origin is attempts.Origin.INHERITED and not dead:
        renewed_s = max(renewed_s, attempt.found_s + attempts.UNRECORDED_S)
    return renewed_s + attempts.LEASE_S + attempts.MARGIN_S


def judge(
    attempt: attempts.Attempt, now_s: float, dead: bool
) -> endings.Ended | None:
    """Return how an attempt ended, None unless it surely has."""
    if attempt.end:
        return attempt.end
    if now_s >= lease_end_s(attempt, dead):
        return _expired(attempt, 'the worker was out of reach for too long')
    if attempt.missing_s and _surely_gone(attempt, now_s):
        return _expired(attempt, 'the worker does not know the task')
    return None


def needs_start(attempt: attempts.Attempt) -> bool:
    """Whether the start of an attempt should be sent again.

    The worker starts a task id once, so a repeat is safe where the job may
    run again; after a worker forgot its tasks, a repeat would run it twice.
    """
    job = attempt.job
    open_start = job.state is work.JobState.ASSIGNED and not attempt.confirmed
    unsent = (
        attempt.origin is attempts.Origin.INHERITED and not attempt.starts_sent
    )
    doubtful = unsent or attempt.starts_unanswered > 0
    return open_start and doubtful and job.idempotent and not job.cancel


def needs_settling(attempt: attempts.Attempt) -> bool:
    """Whether the worker has to say if it ever got the start.

    Such a start is never repeated, so only the life of the worker that it was
    recorded for can tell.
    """
    job = attempt.job
    open_start = job.state is work.JobState.ASSIGNED and not attempt.confirmed
    inherited = attempt.origin is attempts.Origin.INHERITED
    doubtful = inherited or attempt.starts_unanswered > 0
    once = bool(job.boot) and not job.idempotent
    asked = attempt.settled or attempt.end is not None
    return open_start and doubtful and once and not asked


def refused(attempt: attempts.Attempt, reason: str) -> endings.Ended | None:
    """Return the end of an attempt whose start was refused, if it is sure.

    After an unanswered start, or one that a former leader may have sent,
    only the end of the lease is sure.
    """
    only_sender = (
        attempt.origin is attempts.Origin.OWN and attempt.starts_sent == 1
    )
    if not only_sender or attempt.starts_unanswered:
        return None
    return endings.Ended(
        attempt=attempt.job.attempt,
        ending=endings.Ending.NEVER_STARTED,
        reason=reason,
        retry_s=0,
    )


def _surely_gone(attempt: attempts.Attempt, now_s: float) -> bool:
    """Whether a task that its worker does not know will not run any more."""
    if now_s < attempt.missing_s + attempts.USAGE_LAG_S:
        return False
    if attempt.listed_s < attempt.missing_s + attempts.USAGE_LAG_S:
        # Its end may stand in a usage report that is yet to come.
        return False
    if attempt.confirmed_before:
        return True
    # A start that is still under way may arrive late.
    return now_s >= attempt.start_s + attempts.LEASE_S + attempts.MARGIN_S


def _expired(attempt: attempts.Attempt, reason: str) -> endings.Ended:
    return endings.Ended(
        attempt=attempt.job.attempt,
        ending=endings.Ending.EXPIRED,
        reason=reason,
    )
