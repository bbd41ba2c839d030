"""Determines which entry handles the keyed requests of a bucket."""

import asyncio
from collections.abc import Sequence

from jackdawlatch.entry import intent_store, shared_dependencies
from jackdawlatch.node import roster as rosters
from jackdawlatch.routing import rendezvous

UPDATE_INTERVAL_S = 0.25


class Ownership:
    """Assigns buckets to entries by rendezvous hashing.

    It keeps the time since when this process has owned each of its buckets,
    and reads a bucket when this process becomes its owner.
    """

    def __init__(
        self,
        dependencies: shared_dependencies.Dependencies,
        buckets: Sequence[intent_store.IntentStore],
    ) -> None:
        self._dependencies = dependencies
        self._buckets = buckets
        self._owned_since_s_by_bucket: dict[int, float] = {}

    def owner(self, bucket: int) -> rosters.Peer:
        """Return the entry that owns a bucket."""
        local_entry = self._dependencies.roster.local_peer
        entries_by_id = self._dependencies.entry_peers.reachable()
        chosen = rendezvous.owner(f'intents/{bucket}', entries_by_id)
        return entries_by_id.get(chosen or '', local_entry)

    def knows_all_attempts(self, bucket: int) -> bool:
        """Return whether this process knows every attempt in a bucket.

        It does if it has read the bucket since it became the owner.
        """
        since_s = self._owned_since_s_by_bucket.get(bucket)
        last_read_s = self._buckets[bucket].last_read_s
        if since_s is None or last_read_s is None:
            return False
        return last_read_s >= since_s

    async def run(self) -> None:
        """Update the owned buckets periodically until cancelled."""
        while True:
            for bucket in self.update_owned():
                if not await self._buckets[bucket].refresh():
                    break
            await asyncio.sleep(UPDATE_INTERVAL_S)

    def update_owned(self) -> list[int]:
        """Update which buckets are owned; return those still to be read."""
        own_id = self._dependencies.roster.local_peer.id
        now_s = self._dependencies.clock.monotonic_s()
        owned = [
            bucket
            for bucket, _ in enumerate(self._buckets)
            if self.owner(bucket).id == own_id
        ]
        self._owned_since_s_by_bucket = {
            bucket: self._owned_since_s_by_bucket.get(bucket, now_s)
            for bucket in owned
        }
        return [
            bucket for bucket in owned if not self.knows_all_attempts(bucket)
        ]
