"""Records the boots of workers, for next leaders.

What a leader has sent to a boot may reach a later one, up to 12 s late.  A next
leader that finds the later boot first could not know that there was another.
"""

import asyncio
from collections.abc import Callable

from absl import logging
from returns import result

from jackdawlatch.jobs import stored as stored_jobs
from jackdawlatch.jobs import stored_boots
from jackdawlatch.model import records
from jackdawlatch.scheduler import (
    cluster_state,
    observers,
    persistence,
    workers,
)
from jackdawlatch.store import keyvalue, transactions

# Boots found together share a write.
PERIOD_S = 1.0


class BootRecords:
    """Writes the boots that requests were sent to, once they have changed."""

    def __init__(
        self,
        cluster: cluster_state.ClusterState,
        store: transactions.TransactionalStore,
        term: persistence.Term,
        leading: Callable[[], bool],
    ) -> None:
        self._cluster = cluster
        self._store = store
        self._term = term
        self._leading = leading
        self._revision = keyvalue.ABSENT
        self._written: dict[str, int] = {}

    async def load(self, held: Callable[[], bool]) -> None:
        """Read what the leader before wrote, retried while ``held``."""
        while held():
            read = await self._store.get(stored_boots.BOOTS_KEY)
            if isinstance(read, result.Success):
                self._apply(read.unwrap())
                return
            await asyncio.sleep(persistence.LOAD_RETRY_S)

    async def run(self) -> None:
        """Record boots until cancelled."""
        while True:
            self._forget_earlier()
            current = self._current()
            if current != self._written and self._leading():
                await self._write(current)
            await asyncio.sleep(PERIOD_S)

    def _apply(self, entry: keyvalue.Entry | None) -> None:
        if entry is None or entry.deleted:
            return
        self._revision = entry.revision
        boots = observers.decode(entry, stored_boots.Boots)
        if boots is not None:
            self._written = boots.born_ms_by_id
            self._cluster.gone_workers.restore(boots.born_ms_by_id)

    def _forget_earlier(self) -> None:
        """Forget boots that no request of an earlier leader can reach now."""
        term_s = self._cluster.now_s - self._cluster.began_s
        if term_s > workers.LATE_REQUEST_S:
            self._cluster.gone_workers.restore({})

    def _current(self) -> dict[str, int]:
        return {
            **self._cluster.gone_workers.born_ms_by_id(),
            **{
                worker.entry.id: worker.entry.born_ms
                for worker in self._cluster.workers_by_id.values()
            },
        }

    async def _write(self, current: dict[str, int]) -> None:
        written = await self._store.commit(
            transactions.Transaction(
                conditions=(
                    transactions.Condition(
                        key=stored_jobs.LEADER_KEY, revision=self._term.token
                    ),
                    transactions.Condition(
                        key=stored_boots.BOOTS_KEY, revision=self._revision
                    ),
                ),
                puts=(
                    transactions.Put(
                        key=stored_boots.BOOTS_KEY,
                        content=records.pack(
                            stored_boots.Boots(born_ms_by_id=current)
                        ),
                    ),
                ),
            )
        )
        if isinstance(written, result.Success):
            self._revision = written.unwrap()
            self._written = current
            return
        failure = written.failure()
        logging.info('boots were not recorded: %s', failure.line())
        if isinstance(failure, transactions.Rejected):
            # An earlier write may have taken effect without an answer.
            self._revision = failure.revisions_by_key.get(
                stored_boots.BOOTS_KEY, keyvalue.ABSENT
            )
