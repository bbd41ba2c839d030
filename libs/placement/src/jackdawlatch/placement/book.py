"""The job registry: all jobs of a shard, kept in the platform's store."""

import asyncio
import dataclasses
from collections.abc import Callable, Mapping
from typing import ClassVar

from returns import result

from jackdawlatch.model import clocks, failures, work
from jackdawlatch.placement import buckets, drafts, keys, transitions
from jackdawlatch.store import editing, keyvalue

RETRY_AFTER_S = 1

Outcome = result.Result[work.Job, failures.Problem]
Step = Callable[[work.Job], Outcome]


class KeyReused(failures.Invalid, frozen=True, kw_only=True):
    """The idempotency key was used before for a different job."""

    code: ClassVar[str] = 'job-key-reused'


class Unchanged(failures.Problem, frozen=True, kw_only=True):
    """The edit changed nothing; ``job`` is the job that is stored."""

    code: ClassVar[str] = 'job-unchanged'

    job: work.Job | None = None


@dataclasses.dataclass(frozen=True)
class Options:
    """How a shard's jobs are kept.

    ``window_s`` is how long an edit waits for others to share its write.
    ``retention_s`` is how long a job can be found after it has ended, and
    how long its idempotency key is remembered.
    """

    shard: str
    buckets: int = 16
    window_s: float = 0.01
    retention_s: float = 3600


class Book:
    """Submits, finds, cancels and transitions the jobs of one shard."""

    def __init__(
        self, store: keyvalue.Store, options: Options, clock: clocks.Clock
    ) -> None:
        self._clock = clock
        self._options = options
        self._editors = [
            editing.Editor(
                store,
                keys.key_of(options.shard, number),
                buckets.Bucket(),
                options.window_s,
            )
            for number in range(options.buckets)
        ]

    async def submit(self, draft: drafts.Draft, team: str, key: str) -> Outcome:
        """Store a new job and return it.

        A repeat with the same team and key returns the job stored first.
        Failures: ``NotRun`` (nothing was stored), ``KeyReused``, and
        ``OutcomeUnknown`` when the store's reply was lost.
        """
        job = drafts.job_of(draft, team, key, self._clock.wall_s())

        def change(bucket: buckets.Bucket) -> editing.Edited[buckets.Bucket]:
            return self._with_submission(bucket, job)

        written = await self._editor(job.id).edit(change)
        if isinstance(written, result.Success):
            return result.Success(job)
        return _caller_outcome(written.failure())

    async def find(self, job_id: str) -> Outcome:
        """Return a job as it is stored."""
        found = await self._editor(job_id).read()
        if isinstance(found, result.Failure):
            return _caller_outcome(found.failure())
        return _job_in(found.unwrap(), job_id)

    async def cancel(self, job_id: str) -> Outcome:
        """Cancel a job; a job that has ended is returned unchanged.

        A queued job is cancelled at once, a started one as soon as its worker
        has stopped it.
        """
        now_s = self._clock.wall_s()
        outcomes = await self.transition(
            {job_id: lambda job: transitions.cancel(job, now_s)}
        )
        return outcomes[job_id].lash(_caller_outcome)

    async def transition(
        self, steps_by_id: Mapping[str, Step]
    ) -> dict[str, Outcome]:
        """Apply a step to each job, with one write for each bucket.

        A step gets the job as it is at the write; when the step fails, its job
        is left unchanged.  Other failures are those of
        ``keyvalue.WriteFailure`` and ``buckets.Unknown``.
        """
        groups_by_bucket: dict[int, dict[str, Step]] = {}
        for job_id, step in steps_by_id.items():
            number = keys.bucket_of(job_id, self._options.buckets)
            groups_by_bucket.setdefault(number, {})[job_id] = step
        outcomes: dict[str, Outcome] = {}
        tasks = [
            asyncio.create_task(self._transition_bucket(number, group))
            for number, group in groups_by_bucket.items()
        ]
        for task in tasks:
            outcomes.update(await task)
        return outcomes

    async def _transition_bucket(
        self, number: int, steps_by_id: Mapping[str, Step]
    ) -> dict[str, Outcome]:
        outcomes: dict[str, Outcome] = {}

        def change(bucket: buckets.Bucket) -> editing.Edited[buckets.Bucket]:
            outcomes.update(
                {
                    job_id: _job_in(bucket, job_id).bind(step)
                    for job_id, step in steps_by_id.items()
                }
            )
            return self._with_transitions(bucket, outcomes)

        written = await self._editors[number].edit(change)
        if isinstance(written, result.Success):
            return {
                job_id: _unchanged_as_success(one)
                for job_id, one in outcomes.items()
            }
        failure = written.failure()
        if isinstance(failure, Unchanged):
            return {
                job_id: _unchanged_as_success(one)
                for job_id, one in outcomes.items()
            }
        return dict.fromkeys(steps_by_id, result.Failure(failure))

    def _with_transitions(
        self, bucket: buckets.Bucket, outcomes: Mapping[str, Outcome]
    ) -> editing.Edited[buckets.Bucket]:
        transitioned = {
            job_id: outcome.unwrap()
            for job_id, outcome in outcomes.items()
            if isinstance(outcome, result.Success)
        }
        if not transitioned:
            return result.Failure(Unchanged(message='no job was changed'))
        return result.Success(
            self._trimmed(buckets.update(bucket, transitioned))
        )

    def _with_submission(
        self, bucket: buckets.Bucket, job: work.Job
    ) -> editing.Edited[buckets.Bucket]:
        known = bucket.jobs_by_id.get(job.id)
        if known is None:
            return buckets.add(self._trimmed(bucket), job)
        if drafts.same_request(known, job):
            return result.Failure(
                Unchanged(message='the job is stored already', job=known)
            )
        return result.Failure(
            KeyReused(
                message='the key was used for a different job',
                path='Idempotency-Key',
                expected='a different key for each job',
            )
        )

    def _trimmed(self, bucket: buckets.Bucket) -> buckets.Bucket:
        oldest_s = self._clock.wall_s() - self._options.retention_s
        return buckets.trim(bucket, oldest_s)

    def _editor(self, job_id: str) -> editing.Editor[buckets.Bucket]:
        return self._editors[keys.bucket_of(job_id, self._options.buckets)]


def _job_in(bucket: buckets.Bucket, job_id: str) -> Outcome:
    job = bucket.jobs_by_id.get(job_id)
    if job is None:
        return result.Failure(
            buckets.Unknown(
                message=f'no job {job_id}',
                hint='ended jobs are removed after their retention',
            )
        )
    return result.Success(job)


def _caller_outcome(failure: failures.Problem) -> Outcome:
    """Return the result for the caller of a read or write that failed."""
    if isinstance(failure, Unchanged) and failure.job is not None:
        return result.Success(failure.job)
    if isinstance(failure, keyvalue.Uncertain):
        return result.Failure(
            failures.OutcomeUnknown(
                message='the reply of the store was lost; the job may be stored',
                hint='repeat the request with the same idempotency key',
            )
        )
    if isinstance(failure, keyvalue.Unavailable | keyvalue.Conflict):
        return result.Failure(
            failures.NotRun(
                message=failure.message, retry_after_s=RETRY_AFTER_S
            )
        )
    return result.Failure(failure)


def _unchanged_as_success(outcome: Outcome) -> Outcome:
    """Return the stored job as a success if a step changed nothing."""
    if isinstance(outcome, result.Success):
        return outcome
    failure = outcome.failure()
    if isinstance(failure, Unchanged) and failure.job is not None:
        return result.Success(failure.job)
    return outcome
