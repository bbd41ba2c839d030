"""Valid state transitions of a job, as pure functions from job to job.

A transition that does not apply returns a failure and leaves the job
unchanged, so a placer that acts on an outdated view has no effect.
"""

from returns import result

from jackdawlatch.model import records, work
from jackdawlatch.placement import buckets, endings

MAX_REASON_CHARACTERS = 200
MAX_RETRY_S = 300
LIVE = frozenset((work.JobState.ASSIGNED, work.JobState.RUNNING))


def assign(
    job: work.Job, host: str, now_s: float, lease_end_s: float, boot: str = ''
) -> endings.TransitionResult:
    """Assign a queued job to a host, before the worker is called.

    ``lease_end_s`` is the wall-clock time when the lease of the attempt ends
    unless it is renewed.  ``boot`` is the boot id of the worker that will get
    the start.
    """
    if job.state is not work.JobState.QUEUED or job.cancel:
        return _superseded(job)
    if is_delayed(job, now_s):
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


def is_delayed(job: work.Job, now_s: float) -> bool:
    """Whether a queued job must wait before its next start.

    Its earlier attempts have ended, so a delay longer than any retry delay
    comes from a change of the wall clock and is ignored.
    """
    return 0 < job.not_before_s - now_s <= MAX_RETRY_S


def running(
    job: work.Job, attempt: int, now_s: float
) -> endings.TransitionResult:
    """Mark the job as running after its worker confirmed the start."""
    if job.attempt != attempt or job.state is not work.JobState.ASSIGNED:
        return _superseded(job)
    return result.Success(
        records.replace(job, state=work.JobState.RUNNING, started_s=now_s)
    )


def ended(
    job: work.Job, end: endings.AttemptEnd, now_s: float
) -> endings.TransitionResult:
    """End the job, or queue it again where that is safe."""
    if job.attempt != end.attempt or job.state not in LIVE:
        return _superseded(job)
    state = _state_after(job, end)
    if state is work.JobState.QUEUED:
        return result.Success(_requeued(job, end, now_s))
    return result.Success(_ended_as(job, state, end.reason, now_s))


def refuse(
    job: work.Job, reason: str, now_s: float
) -> endings.TransitionResult:
    """Fail a queued job that can never run."""
    if job.state is not work.JobState.QUEUED:
        return _superseded(job)
    return result.Success(_ended_as(job, work.JobState.FAILED, reason, now_s))


def cancel(job: work.Job, now_s: float) -> endings.TransitionResult:
    """Cancel a queued job, or mark a started one to be stopped."""
    if job.state in buckets.FINAL or job.cancel:
        return result.Success(job)
    if job.state is work.JobState.QUEUED:
        cancelled = _ended_as(job, work.JobState.CANCELLED, 'cancelled', now_s)
        return result.Success(records.replace(cancelled, cancel=True))
    return result.Success(records.replace(job, cancel=True))


def _state_after(job: work.Job, end: endings.AttemptEnd) -> work.JobState:
    if end.ending is endings.Ending.DONE:
        return work.JobState.DONE
    if end.ending is endings.Ending.EXPIRED and not job.idempotent:
        return work.JobState.LOST
    if job.cancel:
        return work.JobState.CANCELLED
    if end.ending is endings.Ending.NEVER_STARTED:
        return work.JobState.QUEUED
    at_fault = end.ending is endings.Ending.FAILED and end.at_fault
    final = at_fault or not job.idempotent
    return work.JobState.FAILED if final else work.JobState.QUEUED


def _requeued(job: work.Job, end: endings.AttemptEnd, now_s: float) -> work.Job:
    return records.replace(
        job,
        state=work.JobState.QUEUED,
        host='',
        not_before_s=now_s + end.retry_s,
        started_s=0,
        checkpoint=end.checkpoint or job.checkpoint,
        reason=end.reason[:MAX_REASON_CHARACTERS],
    )


def _ended_as(
    job: work.Job, state: work.JobState, reason: str, now_s: float
) -> work.Job:
    return records.replace(
        job,
        state=state,
        ended_s=now_s,
        reason=reason[:MAX_REASON_CHARACTERS],
    )


def _superseded(job: work.Job) -> endings.TransitionResult:
    return result.Failure(
        endings.Superseded(message=f'the job is now {job.state}', job=job)
    )
