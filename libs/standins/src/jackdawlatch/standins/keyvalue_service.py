"""The state of the key-value service's stand-in."""

import asyncio
import collections
import contextlib

from returns import result

from jackdawlatch.model import clocks, records
from jackdawlatch.standins import content as contents
from jackdawlatch.standins import keyvalue_calls, keyvalue_faults
from jackdawlatch.store import wire

HANG_CHECK_S = 0.05


class Service:
    """The content, its faults and its counters."""

    def __init__(self, clock: clocks.Clock) -> None:
        self.content = contents.Content(clock)
        self.injector = keyvalue_faults.FaultInjector(clock)
        self.calls_by_name: collections.Counter[str] = collections.Counter()
        self.waiting_watches = 0
        self._changed = asyncio.Event()
        self._seen_revision = 0

    def perform(self, call: records.Record) -> keyvalue_calls.Outcome:
        """Apply a call that does not wait."""
        outcome = keyvalue_calls.perform(self.content, call)
        self.wake_watches_on_change()
        return outcome

    def wake_watches_on_change(self) -> None:
        """Wake the watches if anything changed, expired leases included."""
        self.content.expire()
        if self.content.revision != self._seen_revision:
            self._seen_revision = self.content.revision
            self.wake_watches()

    def wake_watches(self) -> None:
        """Make every waiting watch check for changes and faults."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def watch(self, call: wire.Watch) -> keyvalue_calls.Outcome:
        """Wait for changes, at most for the call's time-out."""
        self.waiting_watches += 1
        try:
            async with asyncio.timeout(call.timeout_s):
                return await self._wait(call)
        except TimeoutError:
            return self._changes(call)
        finally:
            self.waiting_watches -= 1

    async def hang(self) -> None:
        """Wait while the outage is ``HANG``."""
        while self.injector.outage is keyvalue_faults.Outage.HANG:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(HANG_CHECK_S):
                    await self._changed.wait()

    async def _wait(self, call: wire.Watch) -> keyvalue_calls.Outcome:
        while True:
            seen = self._changes(call)
            changes = seen.unwrap()
            if changes.entries or changes.reset or self.injector.is_down:
                return seen
            await self._changed.wait()

    def _changes(self, call: wire.Watch) -> keyvalue_calls.Outcome:
        return result.Success(self.content.changes(call.prefix, call.revision))
