"""What a leader does by the clock: lost runs, old jobs, queue lengths."""

import asyncio
import dataclasses
from collections.abc import Callable, Iterable

from returns import result

from jackdawlatch.jobs import stored
from jackdawlatch.model import records
from jackdawlatch.scheduler import book, roll, tasks
from jackdawlatch.store import transactions

TICK_S = 0.2
PENDING_PERIOD_S = 1.0
# Ended jobs are kept as long as callers may ask for them, and a little more.
RETENTION_SLACK_S = 5


@dataclasses.dataclass(frozen=True)
class Parts:
    """What is kept in order."""

    book: book.Book
    roll: roll.Roll
    store: transactions.TransactionalStore
    leading: Callable[[], bool]
    retention_s: float


class Housekeeping:
    """The loops that run by the clock."""

    def __init__(self, parts: Parts) -> None:
        self._parts = parts

    async def tick(self) -> None:
        """Give up lost runs and drop old jobs, until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            if self._parts.leading():
                await self._tick()

    async def tell_pending(self) -> None:
        """Tell the entries how many jobs wait, until cancelled."""
        told: dict[str, int] | None = None
        while True:
            counts = pending(self._parts.book.jobs_by_id.values())
            if counts != told and self._parts.leading():
                written = await self._parts.store.commit(
                    transactions.Transaction(puts=(_pending_put(counts),))
                )
                if not isinstance(written, result.Failure):
                    told = counts
            await asyncio.sleep(PENDING_PERIOD_S)

    async def _tick(self) -> None:
        for worker in tuple(self._parts.book.workers_by_id.values()):
            self._parts.roll.expire(worker)
        self._parts.roll.forget()
        await self._drop_old()
        self._parts.book.changed()

    async def _drop_old(self) -> None:
        own = self._parts.book
        kept_s = self._parts.retention_s + RETENTION_SLACK_S
        latest_s = own.parts.clock.wall_s() - kept_s
        for job in tuple(own.jobs_by_id.values()):
            if job.ended and job.ended_s < latest_s:
                dropped = await self._parts.store.commit(_removal(job.job.id))
                if not isinstance(dropped, result.Failure):
                    own.jobs_by_id.pop(job.job.id, None)
                return


def pending(jobs: Iterable[tasks.JobState]) -> dict[str, int]:
    """Count the jobs of each queue of which nothing has started."""
    counts: dict[str, int] = {}
    for job in jobs:
        if job.phase is stored.JobPhase.QUEUED and not job.job.repeat_count:
            name = job.job.queue
            counts[name] = counts.get(name, 0) + 1
    return counts


def _pending_put(counts: dict[str, int]) -> transactions.Put:
    return transactions.Put(
        key=stored.PENDING_KEY,
        content=records.encode(stored.Pending(counts_by_queue=counts)),
    )


def _removal(job_id: str) -> transactions.Transaction:
    return transactions.Transaction(
        deletes=(
            f'{stored.JOBS_PREFIX}{job_id}',
            f'{stored.CANCELS_PREFIX}{job_id}',
            f'{stored.PROGRESS_PREFIX}{job_id}',
        )
    )
