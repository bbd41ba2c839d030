"""A store that tells whether its calls are being answered.

Callers are then refused at once while it is away: a write that was never
sent has surely not taken effect, one that was sent and not answered may.
"""

import itertools
from collections.abc import Awaitable
from typing import TypeVar

from returns import result

from jackdawlatch.model import clocks
from jackdawlatch.store import keyvalue, transactions
from jackdawlatch.telemetry import meters

Outcome = TypeVar('Outcome')

# Twice the answer time of a store that is up and slow.
PATIENCE_S = 0.5


class Watchdog:
    """Times calls, and knows whether the last ones were answered."""

    def __init__(self, clock: clocks.Clock, own_meters: meters.Meters) -> None:
        self._meters = own_meters
        self._clock = clock
        self._numbers = itertools.count()
        self._sent_s_by_number: dict[int, float] = {}
        self._answered_s: float = 0
        self._failed = False

    @property
    def answering(self) -> bool:
        """Whether a call that is sent now is likely to be answered."""
        oldest_s = min(self._sent_s_by_number.values(), default=None)
        if oldest_s is not None and oldest_s > self._answered_s:
            return self._clock.monotonic_s() - oldest_s < PATIENCE_S
        return not self._failed

    async def timed(self, call: Awaitable[Outcome]) -> Outcome:
        """Wait for a call that should be answered at once."""
        number = next(self._numbers)
        sent_s = self._clock.monotonic_s()
        self._sent_s_by_number[number] = sent_s
        try:
            return self.noted(await call)
        finally:
            self._sent_s_by_number.pop(number)
            self._meters.record(
                'store_call_s', self._clock.monotonic_s() - sent_s
            )

    def noted(self, outcome: Outcome) -> Outcome:
        """Take note of the outcome of a call."""
        failure = None
        if isinstance(outcome, result.Failure):
            failure = outcome.failure()
        self._failed = isinstance(
            failure, keyvalue.Unavailable | keyvalue.Uncertain
        )
        self._meters.count(
            'store_calls', outcome=failure.code if failure else 'ok'
        )
        if not self._failed:
            self._answered_s = self._clock.monotonic_s()
        return outcome


class MonitoredStore(transactions.TransactionalStore):
    """Passes every call on to ``store`` and times it."""

    def __init__(
        self, store: transactions.TransactionalStore, watchdog: Watchdog
    ) -> None:
        self._store = store
        self._watchdog = watchdog

    @property
    def answering(self) -> bool:
        """Whether a call that is sent now is likely to be answered."""
        return self._watchdog.answering

    async def get(
        self, key: str
    ) -> result.Result[keyvalue.Entry | None, keyvalue.Unavailable]:
        """Return the entry of a key, None when there is none."""
        return await self._watchdog.timed(self._store.get(key))

    async def scan(
        self, prefix: str
    ) -> result.Result[keyvalue.Changes, keyvalue.Unavailable]:
        """Return all entries below a prefix and the revision of the read."""
        return self._watchdog.noted(await self._store.scan(prefix))

    async def put(
        self, key: str, content: bytes, revision: int, lease: str = ''
    ) -> result.Result[keyvalue.Entry, keyvalue.WriteFailure]:
        """Write a key if it is at ``revision`` (``ABSENT``: not there)."""
        return await self._watchdog.timed(
            self._store.put(key, content, revision, lease)
        )

    async def delete(
        self, key: str, revision: int
    ) -> result.Result[None, keyvalue.WriteFailure]:
        """Remove a key if it is at ``revision``."""
        return await self._watchdog.timed(self._store.delete(key, revision))

    async def commit(
        self, transaction: transactions.Transaction
    ) -> result.Result[int, keyvalue.WriteFailure]:
        """Carry out all of a transaction; return the revision it made."""
        return await self._watchdog.timed(self._store.commit(transaction))

    async def watch(
        self, prefix: str, revision: int, timeout_s: float
    ) -> result.Result[keyvalue.Changes, keyvalue.Unavailable]:
        """Wait for changes after ``revision``, at most ``timeout_s``."""
        return self._watchdog.noted(
            await self._store.watch(prefix, revision, timeout_s)
        )

    async def grant(
        self, ttl_s: float
    ) -> result.Result[keyvalue.Lease, keyvalue.Unavailable]:
        """Return a new lease."""
        return await self._watchdog.timed(self._store.grant(ttl_s))

    async def renew(
        self, lease: str
    ) -> result.Result[None, keyvalue.LeaseLost | keyvalue.Unavailable]:
        """Keep a lease alive for another time to live."""
        return await self._watchdog.timed(self._store.renew(lease))

    async def revoke(
        self, lease: str
    ) -> result.Result[None, keyvalue.Unavailable]:
        """End a lease and remove its keys."""
        return await self._watchdog.timed(self._store.revoke(lease))
