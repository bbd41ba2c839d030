"""Periodic cleanup of lost runs and old jobs, and queue length updates."""

import asyncio
import dataclasses
import itertools
from collections.abc import Callable, Iterable

from returns import result

from jackdawlatch.jobs import stored
from jackdawlatch.model import records
from jackdawlatch.scheduler import (
    cluster_state,
    load_forecasts,
    load_reports,
    persistence,
    tasks,
    worker_registry,
)
from jackdawlatch.store import keyvalue, transactions

TICK_S = 0.2
PENDING_PERIOD_S = 1.0
# Ended jobs are kept a little longer than callers may ask for them.
RETENTION_SLACK_S = 5
KEYS_PER_JOB = 3
JOBS_PER_DELETION = transactions.MAX_ITEMS // KEYS_PER_JOB


@dataclasses.dataclass(frozen=True)
class Dependencies:
    """Collaborators of the housekeeping.

    ``machines`` returns the machines that services will get.
    """

    cluster: cluster_state.ClusterState
    registry: worker_registry.WorkerRegistry
    store: transactions.TransactionalStore
    leading: Callable[[], bool]
    retention_s: float
    term: persistence.Term
    machines: Callable[[], load_forecasts.Machines]


class Housekeeping:
    """The periodic loops of a leader."""

    def __init__(self, dependencies: Dependencies) -> None:
        self.load_reporter = load_reports.LoadReporter(
            load_reports.Dependencies(
                dependencies.cluster,
                dependencies.store,
                dependencies.term,
                dependencies.leading,
                dependencies.machines,
            )
        )
        self._dependencies = dependencies
        self._pending_revision = keyvalue.ABSENT

    async def tick(self) -> None:
        """Release lost runs and delete old jobs until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            if self._dependencies.leading():
                await self._tick()

    async def publish_pending(self) -> None:
        """Publish the queue lengths for the entries until cancelled."""
        published: dict[str, int] | None = None
        while True:
            counts = pending(self._dependencies.cluster.jobs_by_id.values())
            if counts != published and self._dependencies.leading():
                written = await self._write_pending(counts)
                if not written:
                    # The first write of a term finds out the revision.
                    written = await self._write_pending(counts)
                if written:
                    published = counts
            await asyncio.sleep(PENDING_PERIOD_S)

    async def _write_pending(self, counts: dict[str, int]) -> bool:
        """Write the counts, unless a write that is carried out late did."""
        written = await self._dependencies.store.commit(
            transactions.Transaction(
                conditions=(
                    transactions.Condition(
                        key=stored.LEADER_KEY,
                        revision=self._dependencies.term.token,
                    ),
                    transactions.Condition(
                        key=stored.PENDING_KEY, revision=self._pending_revision
                    ),
                ),
                puts=(_pending_put(counts),),
            )
        )
        if isinstance(written, result.Success):
            self._pending_revision = written.unwrap()
            return True
        failure = written.failure()
        if isinstance(failure, transactions.Rejected):
            self._pending_revision = failure.revisions_by_key.get(
                stored.PENDING_KEY, keyvalue.ABSENT
            )
        return False

    async def _tick(self) -> None:
        for worker in tuple(self._dependencies.cluster.workers_by_id.values()):
            self._dependencies.registry.release_expired_runs(worker)
        self._dependencies.registry.remove_gone_workers()
        self._dependencies.registry.expire_late_starts()
        await self._delete_old_jobs()
        self._dependencies.cluster.on_change()

    async def _delete_old_jobs(self) -> None:
        """Delete the jobs that ended long ago, as many as one write takes."""
        cluster = self._dependencies.cluster
        retention_s = self._dependencies.retention_s + RETENTION_SLACK_S
        latest_s = cluster.dependencies.clock.wall_s() - retention_s
        old = (
            job.job.id
            for job in cluster.jobs_by_id.values()
            if job.ended and job.ended_s < latest_s
        )
        job_ids = tuple(itertools.islice(old, JOBS_PER_DELETION))
        if not job_ids:
            return
        deleted = await self._dependencies.store.commit(_deletion(job_ids))
        if not isinstance(deleted, result.Failure):
            for job_id in job_ids:
                cluster.jobs_by_id.pop(job_id, None)


def pending(jobs: Iterable[tasks.JobState]) -> dict[str, int]:
    """Count the jobs of each queue that have not begun, except repeated ones."""
    counts: dict[str, int] = {}
    for job in jobs:
        if not job.begun and not job.ended and not job.job.repeat_count:
            name = job.job.queue
            counts[name] = counts.get(name, 0) + 1
    return counts


def _pending_put(counts: dict[str, int]) -> transactions.Put:
    return transactions.Put(
        key=stored.PENDING_KEY,
        content=records.encode(stored.Pending(counts_by_queue=counts)),
    )


def _deletion(job_ids: Iterable[str]) -> transactions.Transaction:
    prefixes = (
        stored.JOBS_PREFIX,
        stored.CANCELS_PREFIX,
        stored.PROGRESS_PREFIX,
    )
    return transactions.Transaction(
        deletes=tuple(
            f'{prefix}{job_id}' for job_id in job_ids for prefix in prefixes
        )
    )
