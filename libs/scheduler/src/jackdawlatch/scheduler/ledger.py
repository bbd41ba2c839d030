"""Writes the progress of jobs in groups, in the order it was made.

One round is in flight at a time: it writes every job that changed, and then
runs the callbacks that were waiting for these changes.  Each write names the
leadership key and the revision of each record it replaces, so neither a
deposed leader nor a write that is carried out late can undo a newer one.
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
# About ten answer times of the store; a refusal costs no more than a call.
RETRY_S = 0.05
# Changes of this time go into one write: about two answer times of the store.
GATHER_S = 0.01


@dataclasses.dataclass(frozen=True)
class Term:
    """One leadership: its key's revision is the fencing token."""

    name: str
    token: int


class Ledger:
    """The jobs whose progress is not stored yet."""

    def __init__(
        self, store: transactions.TransactionalStore, term: Term
    ) -> None:
        self.deposed = asyncio.Event()
        self._store = store
        self._term = term
        self._dirty: dict[str, tasks.JobState] = {}
        self._callbacks: list[Callable[[], None]] = []
        self._wake = asyncio.Event()

    def mark(
        self, job: tasks.JobState, stored_then: Callable[[], None] | None = None
    ) -> None:
        """Have a job written; call back once it is."""
        self._dirty[job.job.id] = job
        if stored_then is not None:
            self._callbacks.append(stored_then)
        self._wake.set()

    async def run(self) -> None:
        """Write until the term ends."""
        while not self.deposed.is_set():
            await self._wake.wait()
            await asyncio.sleep(GATHER_S)
            self._wake.clear()
            await self._round()

    async def _round(self) -> None:
        changed, self._dirty = self._dirty, {}
        callbacks, self._callbacks = self._callbacks, []
        for group in _groups(changed.values()):
            await self._write(group)
            if self.deposed.is_set():
                return
        for callback in callbacks:
            callback()

    async def _write(self, group: list[tasks.JobState]) -> None:
        while not self.deposed.is_set():
            written = await self._store.commit(self._transaction(group))
            if isinstance(written, result.Success):
                for job in group:
                    job.revision = written.unwrap()
                return
            failure = written.failure()
            if isinstance(failure, transactions.Rejected):
                self._reread(group, failure)
            elif isinstance(failure, keyvalue.Conflict):
                logging.error('write rejected without a reason: %s', failure)
                self.deposed.set()
            else:
                await asyncio.sleep(RETRY_S)

    def _transaction(
        self, group: list[tasks.JobState]
    ) -> transactions.Transaction:
        conditions = [
            transactions.Condition(
                key=stored.LEADER_KEY, revision=self._term.token
            )
        ]
        puts = []
        for job in group:
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

    def _reread(
        self, group: list[tasks.JobState], rejected: transactions.Rejected
    ) -> None:
        revisions_by_key = {
            entry.key: entry.revision for entry in rejected.entries
        }
        if revisions_by_key.get(stored.LEADER_KEY) != self._term.token:
            self.deposed.set()
            return
        # An earlier copy of this write took effect after all.
        for job in group:
            key = f'{stored.PROGRESS_PREFIX}{job.job.id}'
            job.revision = revisions_by_key.get(key, keyvalue.ABSENT)


def _groups(
    changed: Iterable[tasks.JobState],
) -> Iterator[list[tasks.JobState]]:
    listed = list(changed)
    for first in range(0, len(listed), JOBS_PER_WRITE):
        yield listed[first : first + JOBS_PER_WRITE]
