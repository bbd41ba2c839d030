"""An in-process store for tests, with faults that a test can set."""

import asyncio
import collections
from collections.abc import Awaitable, Callable
from typing import TypeVar

from returns import result

from jackdawlatch.model import clocks
from jackdawlatch.standins import transactional
from jackdawlatch.store import keyvalue, transactions

Outcome = TypeVar('Outcome')

WATCH_POLL_S = 0.005


class FakeStore(transactions.TransactionalStore):
    """The store's interface over ``Content``, without a network.

    ``down`` refuses every call.  ``lose_replies`` is the number of coming
    writes that take effect but are reported as uncertain.  ``slow_s`` delays
    each call.  ``before_put`` is awaited in each put and commit before it
    takes effect, so that a test can make a concurrent write.
    """

    def __init__(self, clock: clocks.Clock | None = None) -> None:
        self.content = transactional.TransactionalContent(
            clock or clocks.SystemClock()
        )
        self.down = False
        self.lose_replies = 0
        self.slow_s: float = 0
        self.before_put: Callable[[], Awaitable[None]] | None = None
        self.calls_by_name: collections.Counter[str] = collections.Counter()

    async def get(
        self, key: str
    ) -> result.Result[keyvalue.Entry | None, keyvalue.Unavailable]:
        """Return the entry of a key, None if it is absent."""
        if not await self._is_reachable('get'):
            return _unavailable()
        return result.Success(self.content.get(key))

    async def scan(
        self, prefix: str
    ) -> result.Result[keyvalue.Changes, keyvalue.Unavailable]:
        """Return every entry below a prefix."""
        if not await self._is_reachable('scan'):
            return _unavailable()
        return result.Success(self.content.scan(prefix))

    async def put(
        self, key: str, content: bytes, revision: int, lease: str = ''
    ) -> result.Result[keyvalue.Entry, keyvalue.WriteFailure]:
        """Write a key if it is at ``revision``."""
        if not await self._is_reachable('put'):
            return _unavailable()
        if self.before_put:
            await self.before_put()
        return self._reply(self.content.put(key, content, revision, lease))

    async def delete(
        self, key: str, revision: int
    ) -> result.Result[None, keyvalue.WriteFailure]:
        """Remove a key if it is at ``revision``."""
        if not await self._is_reachable('delete'):
            return _unavailable()
        return self._reply(self.content.delete(key, revision))

    async def commit(
        self, transaction: transactions.Transaction
    ) -> result.Result[int, keyvalue.WriteFailure]:
        """Apply a transaction as a whole."""
        if not await self._is_reachable('commit'):
            return _unavailable()
        if self.before_put:
            await self.before_put()
        return self._reply(self.content.commit(transaction))

    async def watch(
        self, prefix: str, revision: int, timeout_s: float
    ) -> result.Result[keyvalue.Changes, keyvalue.Unavailable]:
        """Wait for changes after ``revision``."""
        if not await self._is_reachable('watch'):
            return _unavailable()
        waited_s: float = 0
        while True:
            changes = self.content.changes(prefix, revision)
            if changes.entries or changes.reset or waited_s >= timeout_s:
                return result.Success(changes)
            if self.down:
                return _unavailable()
            await asyncio.sleep(WATCH_POLL_S)
            waited_s += WATCH_POLL_S

    async def grant(
        self, ttl_s: float
    ) -> result.Result[keyvalue.Lease, keyvalue.Unavailable]:
        """Return a new lease."""
        if not await self._is_reachable('grant'):
            return _unavailable()
        return result.Success(self.content.grant(ttl_s))

    async def renew(
        self, lease: str
    ) -> result.Result[None, keyvalue.LeaseLost | keyvalue.Unavailable]:
        """Keep a lease alive."""
        if not await self._is_reachable('renew'):
            return _unavailable()
        return self.content.renew(lease)

    async def revoke(
        self, lease: str
    ) -> result.Result[None, keyvalue.Unavailable]:
        """End a lease."""
        if not await self._is_reachable('revoke'):
            return _unavailable()
        self.content.revoke(lease)
        return result.Success(None)

    async def _is_reachable(self, name: str) -> bool:
        self.calls_by_name[name] += 1
        await asyncio.sleep(self.slow_s)
        return not self.down

    def _reply(
        self, outcome: result.Result[Outcome, keyvalue.WriteFailure]
    ) -> result.Result[Outcome, keyvalue.WriteFailure]:
        if self.lose_replies and isinstance(outcome, result.Success):
            self.lose_replies -= 1
            return result.Failure(
                keyvalue.Uncertain(message='the reply was lost')
            )
        return outcome


def _unavailable() -> result.Failure[keyvalue.Unavailable]:
    return result.Failure(keyvalue.Unavailable(message='the store is down'))
