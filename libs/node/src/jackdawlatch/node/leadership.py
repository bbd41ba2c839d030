"""Leader election for a shard, by a store key that is held under a lease.

Leadership only avoids duplicate work.  Two leaders at once do no harm, since
a leader writes its values by compare-and-swap.
"""

import asyncio
import dataclasses
from collections.abc import Callable, Iterable

from returns import result

from jackdawlatch.model import clocks
from jackdawlatch.store import keyvalue

LEADERS_PREFIX = 'fleet/leader/'
RENEWALS_PER_TTL = 3
POLL_S = 0.25
# A leader stops relying on its lease before the store expires it.
TRUSTED_FRACTION = 0.75


class Leaders:
    """The current leaders, as read from the store."""

    def __init__(self) -> None:
        self._holders_by_key: dict[str, str] = {}

    def holder(self, key: str) -> str:
        """Return the id of the leader, empty when there is none."""
        return self._holders_by_key.get(key, '')

    def apply(self, entry: keyvalue.Entry) -> None:
        """Apply a change of one key, received from the store's watch."""
        if entry.deleted:
            self._holders_by_key.pop(entry.key, None)
        else:
            self._holders_by_key[entry.key] = _holder(entry)

    def reset(self, entries: Iterable[keyvalue.Entry]) -> None:
        """Replace all leaders by those in a full read of the store."""
        self._holders_by_key = {
            entry.key: _holder(entry)
            for entry in entries
            if entry.key.startswith(LEADERS_PREFIX)
        }


def _holder(entry: keyvalue.Entry) -> str:
    """Return the id of the leader; no process has that of a malformed entry."""
    return entry.value.decode(errors='replace')


@dataclasses.dataclass(frozen=True)
class Candidate:
    """A process that runs for leadership; ``holder`` is its id."""

    store: keyvalue.Store
    holder: str
    clock: clocks.Clock
    ttl_s: float


class Candidacy:
    """One process's candidacy for one shard."""

    def __init__(
        self, leaders: Leaders, candidate: Candidate, key: str
    ) -> None:
        self.key = key
        self._leaders = leaders
        self._store = candidate.store
        self._holder = candidate.holder
        self._clock = candidate.clock
        self._ttl_s = candidate.ttl_s
        self._lease = ''
        self._renewed_s: float = 0

    @property
    def held(self) -> bool:
        """Whether this process may act as the leader.

        It turns false without any call when the lease was not renewed in
        time, also after the process was paused.
        """
        trusted_s = self._ttl_s * TRUSTED_FRACTION
        fresh = self._clock.monotonic_s() - self._renewed_s < trusted_s
        return bool(self._lease) and fresh

    async def run(self, changed: Callable[[bool], None]) -> None:
        """Run for leadership until cancelled.

        ``changed`` is called with the new value whenever ``held`` changes.
        """
        held = False
        while True:
            await self._step()
            if held is not self.held:
                held = self.held
                changed(held)
            pause_s = self._ttl_s / RENEWALS_PER_TTL if held else POLL_S
            await asyncio.sleep(pause_s)

    async def resign(self) -> None:
        """Give up leadership at once."""
        lease, self._lease = self._lease, ''
        if lease:
            await self._store.revoke(lease)

    async def _step(self) -> None:
        if self._lease:
            await self._renew()
        elif not self._leaders.holder(self.key):
            await self._campaign()

    async def _renew(self) -> None:
        requested_s = self._clock.monotonic_s()
        renewed = await self._store.renew(self._lease)
        if isinstance(renewed, result.Success):
            self._renewed_s = requested_s
        elif isinstance(renewed.failure(), keyvalue.LeaseLost):
            self._lease = ''

    async def _campaign(self) -> None:
        requested_s = self._clock.monotonic_s()
        granted = await self._store.grant(self._ttl_s)
        if isinstance(granted, result.Failure):
            return
        lease = granted.unwrap().id
        written = await self._store.put(
            self.key, self._holder.encode(), keyvalue.ABSENT, lease
        )
        if isinstance(written, result.Success):
            self._lease = lease
            self._renewed_s = requested_s
        else:
            await self._store.revoke(lease)
