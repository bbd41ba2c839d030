"""The legal moves of a job, as pure functions from job to job.

A move that does not apply is a typed failure and leaves the job alone, so a
placer that acts on an old view changes nothing.
"""

from returns import result

from jackdawlatch.model import records, work
from jackdawlatch.placement import buckets, endings

MAX_REASON_CHARACTERS = 200
MAX_RETRY_S = 300
LIVE = frozenset((work.JobState.ASSIGNED, work.JobState.RUNNING))


def assign(
    job: work.Job, host: str, now_s: float, lease_end_s: float, boot: str = ''
) -> endings.Moved:
    """Record a start before the worker is told of it.

    ``lease_end_s`` is when the lease of the attempt runs out at the latest
    unless it is renewed, in seconds since the epoch.  ``boot`` names the life
    of the worker that is going to be told.
    """
    if job.state is not work.JobState.QUEUED or job.cancel:
        return _superseded(job)
    if waits(job, now_s):
        return _superseded(job)
    return result.Success(
        records.replace(
            job,
            state=work.JobState.ASSIGNED,
            host=host,
            attempt=job.attempt + 1,
            boot=boot,
            not_before_s=lease_end_s,
            reason='',
        )
    )


def waits(job: work.Job, now_s: float) -> bool:
    """Whether a queued job must wait before its next start.

    Its earlier attempts have ended, so a wait longer than any retry comes
    from a step of a clock and is ignored.
    """
    return 0 < job.not_before_s - now_s <= MAX_RETRY_S


def running(job: work.Job, attempt: int, now_s: float) -> endings.Moved:
    """Take note that the worker has started the attempt."""
    if job.attempt != attempt or job.state is not work.JobState.ASSIGNED:
        return _superseded(job)
    return result.Success(
        records.replace(job, state=work.JobState.RUNNING, started_s=now_s)
    )


def ended(job: work.Job, end: endings.Ended, now_s: float) -> endings.Moved:
    """Finish the job, or queue it again where that is safe."""
    if job.attempt != end.attempt or job.state not in LIVE:
        return _superseded(job)
    state = _state_after(job, end)
    if state is work.JobState.QUEUED:
        return result.Success(_queued_again(job, end, now_s))
    return result.Success(_final(job, state, end.reason, now_s))


def refuse(job: work.Job, reason: str, now_s: float) -> endings.Moved:
    """Fail a queued job that can never run."""
    if job.state is not work.JobState.QUEUED:
        return _superseded(job)
    return result.Success(_final(job, work.JobState.FAILED, reason, now_s))


def cancel(job: work.Job, now_s: float) -> endings.Moved:
    """Cancel a queued job, or ask for a started one to be stopped."""
    if job.state in buckets.FINAL or job.cancel:
        return result.Success(job)
    if job.state is work.JobState.QUEUED:
        cancelled = _final(job, work.JobState.CANCELLED, 'cancelled', now_s)
        return result.Success(records.replace(cancelled, cancel=True))
    return result.Success(records.replace(job, cancel=True))


def _state_after(job: work.Job, end: endings.Ended) -> work.JobState:
    if end.ending is endings.Ending.DONE:
        return work.JobState.DONE
    if end.ending is endings.Ending.EXPIRED and not job.idempotent:
        return work.JobState.LOST
    if job.cancel:
        return work.JobState.CANCELLED
    if end.ending is endings.Ending.NEVER_STARTED:
        return work.JobState.QUEUED
    blamed = end.ending is endings.Ending.FAILED and end.at_fault
    final = blamed or not job.idempotent
    return work.JobState.FAILED if final else work.JobState.QUEUED


def _queued_again(job: work.Job, end: endings.Ended, now_s: float) -> work.Job:
    return records.replace(
        job,
        state=work.JobState.QUEUED,
        host='',
        not_before_s=now_s + end.retry_s,
        started_s=0,
        checkpoint=end.checkpoint or job.checkpoint,
        reason=end.reason[:MAX_REASON_CHARACTERS],
    )


def _final(
    job: work.Job, state: work.JobState, reason: str, now_s: float
) -> work.Job:
    return records.replace(
        job,
        state=state,
        ended_s=now_s,
        reason=reason[:MAX_REASON_CHARACTERS],
    )


def _superseded(job: work.Job) -> endings.Moved:
    return result.Failure(
        endings.Superseded(message=f'the job is {job.state} by now', job=job)
    )
