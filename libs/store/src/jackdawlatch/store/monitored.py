"""A store that knows whether its calls are being answered.

While they are not, requests can be refused at once: a write that was never
sent has not taken effect, whereas one that was sent and not answered may
have.
"""

import itertools
from collections.abc import Awaitable
from typing import TypeVar

from returns import result

from jackdawlatch.model import clocks
from jackdawlatch.store import keyvalue, transactions
from jackdawlatch.telemetry import meters

Outcome = TypeVar('Outcome')

# Twice the answer time of a store that is slow but working.
ANSWER_TIMEOUT_S = 0.5


class Watchdog:
    """Measures the duration of calls and reports whether the store answers."""

    def __init__(self, clock: clocks.Clock, instruments: meters.Meters) -> None:
        self._meters = instruments
        self._clock = clock
        self._call_numbers = itertools.count()
        self._sent_s_by_call: dict[int, float] = {}
        self._answered_s: float = 0
        self._last_failed = False

    @property
    def answering(self) -> bool:
        """Whether a call that is sent now is likely to be answered."""
        oldest_s = min(self._sent_s_by_call.values(), default=None)
        if oldest_s is not None and oldest_s > self._answered_s:
            return self._clock.monotonic_s() - oldest_s < ANSWER_TIMEOUT_S
        return not self._last_failed

    async def timed(self, call: Awaitable[Outcome]) -> Outcome:
        """Await a call that the store should answer without delay.

        Records its outcome and its duration.
        """
        number = next(self._call_numbers)
        sent_s = self._clock.monotonic_s()
        self._sent_s_by_call[number] = sent_s
        try:
            return self.recorded(await call)
        finally:
            self._sent_s_by_call.pop(number)
            self._meters.record(
                'store_call_s', self._clock.monotonic_s() - sent_s
            )

    def recorded(self, outcome: Outcome) -> Outcome:
        """Record the outcome of a call and return it."""
        failure = None
        if isinstance(outcome, result.Failure):
            failure = outcome.failure()
        self._last_failed = isinstance(
            failure, keyvalue.Unavailable | keyvalue.Uncertain
        )
        self._meters.count(
            'store_calls', outcome=failure.code if failure else 'ok'
        )
        if not self._last_failed:
            self._answered_s = self._clock.monotonic_s()
        return outcome


class MonitoredStore(transactions.TransactionalStore):
    """Forwards every call to ``store`` and reports it to the watchdog.

    Scans and watches may take long, so only their outcome is recorded.
    """

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
        return self._watchdog.recorded(await self._store.scan(prefix))

    async def put(
        self, key: str, content: bytes, revision: int, lease: str = ''
    ) -> result.Result[keyvalue.Entry, keyvalue.WriteFailure]:
        """Write a key if it is at ``revision`` (``ABSENT``: no such key)."""
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
        """Commit a transaction; return the revision that it produced."""
        return await self._watchdog.timed(self._store.commit(transaction))

    async def watch(
        self, prefix: str, revision: int, timeout_s: float
    ) -> result.Result[keyvalue.Changes, keyvalue.Unavailable]:
        """Wait for changes after ``revision``, at most ``timeout_s``."""
        return self._watchdog.recorded(
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
        """Extend a lease by its time to live."""
        return await self._watchdog.timed(self._store.renew(lease))

    async def revoke(
        self, lease: str
    ) -> result.Result[None, keyvalue.Unavailable]:
        """End a lease and remove its keys."""
        return await self._watchdog.timed(self._store.revoke(lease))
