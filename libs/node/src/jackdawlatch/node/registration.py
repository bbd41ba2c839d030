"""Registers this process in the store under a lease."""

import asyncio

from returns import result

from jackdawlatch.model import records
from jackdawlatch.node import roster
from jackdawlatch.store import keyvalue

RENEWALS_PER_TTL = 3
RETRY_S = 0.5


class Registration:
    """Keeps the registration alive, and registers again if its lease is lost.

    ``ttl_s`` is the time to live of the lease.
    """

    def __init__(
        self, store: keyvalue.Store, peer: roster.Peer, ttl_s: float
    ) -> None:
        self._store = store
        self._peer = peer
        self._ttl_s = ttl_s
        self._lease = ''

    async def run(self) -> None:
        """Register and renew the lease until cancelled."""
        while True:
            if self._lease:
                await self._renew()
            else:
                await self._register()
            pause_s = self._ttl_s / RENEWALS_PER_TTL
            await asyncio.sleep(pause_s if self._lease else RETRY_S)

    async def deregister(self) -> None:
        """Remove the registration at once by revoking its lease."""
        if self._lease:
            await self._store.revoke(self._lease)
            self._lease = ''

    async def _renew(self) -> None:
        renewed = await self._store.renew(self._lease)
        if isinstance(renewed, result.Failure) and isinstance(
            renewed.failure(), keyvalue.LeaseLost
        ):
            self._lease = ''

    async def _register(self) -> None:
        granted = await self._store.grant(self._ttl_s)
        if isinstance(granted, result.Failure):
            return
        lease = granted.unwrap().id
        found = await self._store.get(self._peer.key)
        if isinstance(found, result.Failure):
            return
        entry = found.unwrap()
        written = await self._store.put(
            self._peer.key,
            records.encode(self._peer),
            entry.revision if entry else keyvalue.ABSENT,
            lease,
        )
        if isinstance(written, result.Success):
            self._lease = lease
