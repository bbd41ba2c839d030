"""Store values that hold jobs: a fixed number of buckets per shard."""

from collections.abc import Iterable, Mapping
from typing import ClassVar

from returns import result

from jackdawlatch.model import failures, records, work

# The store holds 1 MB per value; the rest is left for jobs that grow.
SUBMIT_LIMIT_BYTES = 900_000
FINAL = frozenset(
    (
        work.JobState.DONE,
        work.JobState.FAILED,
        work.JobState.CANCELLED,
        work.JobState.LOST,
    )
)


class Full(failures.NotRun, frozen=True, kw_only=True):
    """The bucket of the job is full."""

    code: ClassVar[str] = 'job-book-full'


class Unknown(failures.Problem, frozen=True, kw_only=True):
    """There is no such job, or its retention after the end has passed."""

    code: ClassVar[str] = 'job-unknown'


class Bucket(records.Versioned, frozen=True, kw_only=True):
    """Jobs that share one key; ``used_bytes`` is their encoded size."""

    jobs_by_id: dict[str, work.Job] = {}
    used_bytes: int = 0


def add(bucket: Bucket, job: work.Job) -> result.Result[Bucket, Full]:
    """Add a new job; fails with ``Full`` when the bucket is full."""
    if bucket.used_bytes + _size(job) > SUBMIT_LIMIT_BYTES:
        return result.Failure(
            Full(message='the bucket of the job is full', retry_after_s=1)
        )
    return result.Success(update(bucket, {job.id: job}))


def update(bucket: Bucket, jobs_by_id: Mapping[str, work.Job]) -> Bucket:
    """Add jobs, or replace the states kept before."""
    growth_bytes = sum(
        _size(job) - _size(bucket.jobs_by_id.get(job_id))
        for job_id, job in jobs_by_id.items()
    )
    return records.replace(
        bucket,
        jobs_by_id={**bucket.jobs_by_id, **jobs_by_id},
        used_bytes=bucket.used_bytes + growth_bytes,
    )


def trim(bucket: Bucket, ended_before_s: float) -> Bucket:
    """Drop the jobs that ended before a wall-clock time."""
    old = [
        job
        for job in bucket.jobs_by_id.values()
        if job.state in FINAL and job.ended_s < ended_before_s
    ]
    if not old:
        return bucket
    return _without(bucket, old)


def _without(bucket: Bucket, jobs: Iterable[work.Job]) -> Bucket:
    kept = dict(bucket.jobs_by_id)
    freed_bytes = 0
    for job in jobs:
        kept.pop(job.id)
        freed_bytes += _size(job)
    return records.replace(
        bucket, jobs_by_id=kept, used_bytes=bucket.used_bytes - freed_bytes
    )


def _size(job: work.Job | None) -> int:
    if job is None:
        return 0
    return len(job.id) + len(records.encode(job))
