"""Persists the progress of jobs in batches, in the order of the changes.

One round is in flight at a time: it writes every job that changed, and then
runs the callbacks that were waiting for these changes.  Each transaction
checks the leadership key and the revision of each record it replaces, so
neither a deposed leader nor a delayed write can overwrite a newer record.
"""

import asyncio
import dataclasses
from collections.abc import Callable, Iterable, Iterator

from absl import logging
from returns import result

from jackdawlatch.jobs import stored
from jackdawlatch.model import records
from jackdawlatch.scheduler import tasks
from jackdawlatch.store import keyvalue, transactions

# Each record takes a condition and a put; the leadership key takes one more.
JOBS_PER_WRITE = (transactions.MAX_ITEMS - 1) // 2
# About ten response times of the store; a retry that fails costs one call.
RETRY_S = 0.05
# A read at the start of a term, which may be large.
LOAD_RETRY_S = 0.1
# Under way at the same time: one write after the other would take as many
# response times as a round has batches, while their tasks hold capacity.
MAX_WRITES = 4
# Changes within this time are batched: about two response times of the store.
BATCH_DELAY_S = 0.01


@dataclasses.dataclass(frozen=True)
class Term:
    """A leadership term; ``token`` (the key's revision) fences older leaders."""

    name: str
    token: int


class ProgressWriter:
    """Writes the jobs whose progress has changed."""

    def __init__(
        self, store: transactions.TransactionalStore, term: Term
    ) -> None:
        self.deposed = asyncio.Event()
        self._store = store
        self._term = term
        self._changed_by_id: dict[str, tasks.JobState] = {}
        self._callbacks: list[Callable[[], None]] = []
        self._wake = asyncio.Event()

    def enqueue(
        self, job: tasks.JobState, on_stored: Callable[[], None] | None = None
    ) -> None:
        """Queue a job to be written; call ``on_stored`` once it is."""
        self._changed_by_id[job.job.id] = job
        if on_stored is not None:
            self._callbacks.append(on_stored)
        self._wake.set()

    async def flush(self) -> None:
        """Wait until every change that is queued by now is written."""
        written = asyncio.Event()
        self._callbacks.append(written.set)
        self._wake.set()
        await written.wait()

    async def run(self) -> None:
        """Write changes until the term ends."""
        while not self.deposed.is_set():
            await self._wake.wait()
            await asyncio.sleep(BATCH_DELAY_S)
            self._wake.clear()
            await self._round()

    async def _round(self) -> None:
        changed, self._changed_by_id = self._changed_by_id, {}
        callbacks, self._callbacks = self._callbacks, []
        batches = _batches(changed.values())
        async with asyncio.TaskGroup() as writes:
            for _ in range(min(MAX_WRITES, len(changed))):
                writes.create_task(self._write_all(batches))
        if self.deposed.is_set():
            return
        for callback in callbacks:
            callback()

    async def _write_all(self, batches: Iterator[list[tasks.JobState]]) -> None:
        """Write the batches that no other call has taken."""
        for batch in batches:
            await self._write(batch)
            if self.deposed.is_set():
                return

    async def _write(self, batch: list[tasks.JobState]) -> None:
        while not self.deposed.is_set():
            written = await self._store.commit(self._transaction(batch))
            if isinstance(written, result.Success):
                for job in batch:
                    job.revision = written.unwrap()
                return
            failure = written.failure()
            if isinstance(failure, transactions.Rejected):
                self._update_revisions(batch, failure)
            elif isinstance(failure, keyvalue.Conflict):
                logging.error(
                    'progress write rejected without the conflicting records: %s',
                    failure,
                )
                self.deposed.set()
            else:
                await asyncio.sleep(RETRY_S)

    def _transaction(
        self, batch: list[tasks.JobState]
    ) -> transactions.Transaction:
        conditions = [
            transactions.Condition(
                key=stored.LEADER_KEY, revision=self._term.token
            )
        ]
        puts = []
        for job in batch:
            key = f'{stored.PROGRESS_PREFIX}{job.job.id}'
            conditions.append(
                transactions.Condition(key=key, revision=job.revision)
            )
            puts.append(
                transactions.Put(key=key, content=records.pack(job.progress()))
            )
        return transactions.Transaction(
            conditions=tuple(conditions), puts=tuple(puts)
        )

    def _update_revisions(
        self, batch: list[tasks.JobState], rejected: transactions.Rejected
    ) -> None:
        revisions_by_key = rejected.revisions_by_key
        if revisions_by_key.get(stored.LEADER_KEY) != self._term.token:
            self.deposed.set()
            return
        # An earlier attempt at this write took effect without an answer.
        for job in batch:
            key = f'{stored.PROGRESS_PREFIX}{job.job.id}'
            job.revision = revisions_by_key.get(key, keyvalue.ABSENT)


async def load_progress(
    store: transactions.TransactionalStore, held: Callable[[], bool]
) -> dict[str, keyvalue.Entry]:
    """Return the stored progress by job, read again while ``held``."""
    while held():
        scanned = await store.scan(stored.PROGRESS_PREFIX)
        if not isinstance(scanned, result.Failure):
            return {
                entry.key.removeprefix(stored.PROGRESS_PREFIX): entry
                for entry in scanned.unwrap().entries
            }
        await asyncio.sleep(LOAD_RETRY_S)
    return {}


def _batches(
    changed: Iterable[tasks.JobState],
) -> Iterator[list[tasks.JobState]]:
    jobs = list(changed)
    for first in range(0, len(jobs), JOBS_PER_WRITE):
        yield jobs[first : first + JOBS_PER_WRITE]
