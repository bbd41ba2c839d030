"""The job book: every job of a shard, kept in the platform's store."""

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
    """There was nothing to write; ``job`` is what the book holds."""

    code: ClassVar[str] = 'job-unchanged'

    job: work.Job | None = None


@dataclasses.dataclass(frozen=True)
class Options:
    """How a shard's jobs are kept.

    ``window_s`` is how long an edit waits for others to share its write.
    ``retention_s`` is how long a job that ended can be found, and how long
    its idempotency key is known.
    """

    shard: str
    buckets: int = 16
    window_s: float = 0.01
    retention_s: float = 3600


class Book:
    """Submits, finds, cancels and moves the jobs of one shard."""

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
        """Keep a new job and return it once it is in the store.

        A repeat under the same team and key returns the job kept first.
        Failures: ``NotRun`` (nothing was kept), ``KeyReused``, and
        ``OutcomeUnknown`` when the store's reply was lost.
        """
        job = drafts.job_of(draft, team, key, self._clock.wall_s())

        def change(bucket: buckets.Bucket) -> editing.Edited[buckets.Bucket]:
            return self._submitted(bucket, job)

        written = await self._editor(job.id).edit(change)
        if isinstance(written, result.Success):
            return result.Success(job)
        return _told(written.failure())

    async def find(self, job_id: str) -> Outcome:
        """Return a job as the store holds it."""
        found = await self._editor(job_id).read()
        if isinstance(found, result.Failure):
            return _told(found.failure())
        return _job_in(found.unwrap(), job_id)

    async def cancel(self, job_id: str) -> Outcome:
        """Cancel a job; one that has ended stays as it is.

        A queued job is cancelled at once, a started one when its worker has
        stopped it.
        """
        now_s = self._clock.wall_s()
        outcomes = await self.transition(
            {job_id: lambda job: transitions.cancel(job, now_s)}
        )
        return outcomes[job_id].lash(_told)

    async def transition(
        self, steps_by_id: Mapping[str, Step]
    ) -> dict[str, Outcome]:
        """Move jobs, with one write for all that share a bucket.

        Each step sees the job as it is at the write; its failure leaves the
        job alone.  Failures besides are those of ``keyvalue.WriteFailure``
        and ``buckets.Unknown``.
        """
        groups_by_bucket: dict[int, dict[str, Step]] = {}
        for job_id, step in steps_by_id.items():
            number = keys.number_of(job_id, self._options.buckets)
            groups_by_bucket.setdefault(number, {})[job_id] = step
        outcomes: dict[str, Outcome] = {}
        moves = [
            asyncio.create_task(self._move(number, group))
            for number, group in groups_by_bucket.items()
        ]
        for move in moves:
            outcomes.update(await move)
        return outcomes

    async def _move(
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
            return self._moved(bucket, outcomes)

        written = await self._editors[number].edit(change)
        if isinstance(written, result.Success):
            return {job_id: _plain(one) for job_id, one in outcomes.items()}
        failure = written.failure()
        if isinstance(failure, Unchanged):
            return {job_id: _plain(one) for job_id, one in outcomes.items()}
        return dict.fromkeys(steps_by_id, result.Failure(failure))

    def _moved(
        self, bucket: buckets.Bucket, outcomes: Mapping[str, Outcome]
    ) -> editing.Edited[buckets.Bucket]:
        moved = {
            job_id: outcome.unwrap()
            for job_id, outcome in outcomes.items()
            if isinstance(outcome, result.Success)
        }
        if not moved:
            return result.Failure(Unchanged(message='no job was moved'))
        return result.Success(self._trimmed(buckets.update(bucket, moved)))

    def _submitted(
        self, bucket: buckets.Bucket, job: work.Job
    ) -> editing.Edited[buckets.Bucket]:
        known = bucket.jobs_by_id.get(job.id)
        if known is None:
            return buckets.add(self._trimmed(bucket), job)
        if drafts.same_request(known, job):
            return result.Failure(Unchanged(message='kept before', job=known))
        return result.Failure(
            KeyReused(
                message='the key was used for a different job',
                path='Idempotency-Key',
                expected='a key of its own for each job',
            )
        )

    def _trimmed(self, bucket: buckets.Bucket) -> buckets.Bucket:
        oldest_s = self._clock.wall_s() - self._options.retention_s
        return buckets.trim(bucket, oldest_s)

    def _editor(self, job_id: str) -> editing.Editor[buckets.Bucket]:
        return self._editors[keys.number_of(job_id, self._options.buckets)]


def _job_in(bucket: buckets.Bucket, job_id: str) -> Outcome:
    job = bucket.jobs_by_id.get(job_id)
    if job is None:
        return result.Failure(
            buckets.Unknown(
                message=f'no job {job_id}',
                hint='jobs that ended are forgotten after the retention',
            )
        )
    return result.Success(job)


def _told(failure: failures.Problem) -> Outcome:
    """Return what a caller is told about a failed read or write."""
    if isinstance(failure, Unchanged) and failure.job is not None:
        return result.Success(failure.job)
    if isinstance(failure, keyvalue.Uncertain):
        return result.Failure(
            failures.OutcomeUnknown(
                message='the reply of the store was lost',
                hint='ask again with the same idempotency key',
            )
        )
    if isinstance(failure, keyvalue.Unavailable | keyvalue.Conflict):
        return result.Failure(
            failures.NotRun(
                message=failure.message, retry_after_s=RETRY_AFTER_S
            )
        )
    return result.Failure(failure)


def _plain(outcome: Outcome) -> Outcome:
    """Return a step that had nothing to change as the job it saw."""
    if isinstance(outcome, result.Success):
        return outcome
    failure = outcome.failure()
    if isinstance(failure, Unchanged) and failure.job is not None:
        return result.Success(failure.job)
    return outcome
