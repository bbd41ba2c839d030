"""Issues the fencing tokens of requests to workers.

A request names the id of a worker only, and may be carried out late, by a later
boot.  A boot that has seen a token refuses every request with a lower one.
"""

import asyncio
import dataclasses
from collections.abc import Callable

from absl import logging
from returns import result

from jackdawlatch.jobs import stored
from jackdawlatch.scheduler import persistence, workers
from jackdawlatch.store import transactions


@dataclasses.dataclass(frozen=True)
class Dependencies:
    """Collaborators of the fences.

    ``leading`` tells whether the store may be written now.  ``deposed`` is set
    once the leadership is found to be lost.
    """

    store: transactions.TransactionalStore
    term: persistence.Term
    leading: Callable[[], bool]
    deposed: asyncio.Event


@dataclasses.dataclass(frozen=True)
class _Fence:
    """The token that was issued last for an id, and for which boot."""

    token: int
    born_ms: int
    valid: bool = True


class Fences:
    """Gives each boot of a worker a token above those sent to its id before.

    A token is the revision of a write that requires the leadership: it is
    higher than all tokens before, and lower than those of the next leader.
    Workers share a token unless one of them has to be fenced again.
    """

    def __init__(self, dependencies: Dependencies) -> None:
        self._dependencies = dependencies
        self._newest = dependencies.term.token
        self._fences_by_id: dict[str, _Fence] = {}
        self._issuing = asyncio.Lock()

    def token(self, worker: workers.Worker) -> int | None:
        """Return the token of requests to a worker, None if one is due."""
        fence = self._fences_by_id.get(worker.entry.id)
        if fence is None or not fence.valid:
            return None
        return fence.token if fence.born_ms == worker.entry.born_ms else None

    def expire(self, worker: workers.Worker) -> None:
        """Require a higher token, since requests may still be on their way."""
        if self.token(worker) is not None:
            worker_id = worker.entry.id
            self._fences_by_id[worker_id] = dataclasses.replace(
                self._fences_by_id[worker_id], valid=False
            )

    async def issue(self, worker: workers.Worker) -> int | None:
        """Return the token of requests to a worker, a new one if it is due.

        Return None if none could be issued.
        """
        known = self.token(worker) or self._take(worker)
        return known or await self._issue(worker)

    def _take(self, worker: workers.Worker) -> int | None:
        """Give a worker the newest token, unless its id has seen it."""
        entry = worker.entry
        last = self._fences_by_id.get(entry.id)
        if last is not None and self._newest <= last.token:
            return None
        self._fences_by_id[entry.id] = _Fence(self._newest, entry.born_ms)
        return self._newest

    async def _issue(self, worker: workers.Worker) -> int | None:
        async with self._issuing:
            # Requests to one worker, and workers lost together, share a write.
            known = self.token(worker) or self._take(worker)
            if known is None:
                await self._raise()
            return known or self._take(worker)

    async def _raise(self) -> None:
        if not self._dependencies.leading():
            return
        written = await self._dependencies.store.commit(
            transactions.Transaction(
                conditions=(
                    transactions.Condition(
                        key=stored.LEADER_KEY,
                        revision=self._dependencies.term.token,
                    ),
                ),
                puts=(
                    transactions.Put(
                        key=stored.FENCE_KEY,
                        content=self._dependencies.term.name.encode(),
                    ),
                ),
            )
        )
        if isinstance(written, result.Success):
            self._newest = written.unwrap()
            return
        failure = written.failure()
        logging.info('no fencing token was issued: %s', failure.line())
        if isinstance(failure, transactions.Rejected):
            self._dependencies.deposed.set()
