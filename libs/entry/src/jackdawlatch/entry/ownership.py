"""Which entry takes the keyed requests of a bucket."""

import asyncio
from collections.abc import Sequence

from jackdawlatch.entry import intents, surroundings
from jackdawlatch.node import roster as rosters
from jackdawlatch.routing import rendezvous

REVIEW_S = 0.25


class Ownership:
    """Follows who owns each bucket by rendezvous hashing.

    It knows since when this process has owned a bucket, and reads a bucket
    when this process becomes its owner.  While ``retiring`` is set, this
    process leaves its buckets to the others.
    """

    def __init__(
        self,
        around: surroundings.Surroundings,
        buckets: Sequence[intents.Intents],
    ) -> None:
        self._around = around
        self._buckets = buckets
        self._since_s_by_bucket: dict[int, float] = {}

    def owner(self, bucket: int) -> rosters.Peer:
        """Return the entry that owns a bucket."""
        own = self._around.roster.own
        entries_by_id = self._around.members.reachable()
        chosen = rendezvous.owner(f'intents/{bucket}', entries_by_id)
        return entries_by_id.get(chosen or '', own)

    def vouches(self, bucket: int) -> bool:
        """Say whether this process knows all that was sent of a bucket.

        It does if it has read the bucket since it became the owner.
        """
        since_s = self._since_s_by_bucket.get(bucket)
        contact_s = self._buckets[bucket].contact_s
        if since_s is None or contact_s is None:
            return False
        return contact_s >= since_s

    async def run(self) -> None:
        """Follow the roster until cancelled."""
        while True:
            for number in self.review():
                if not await self._buckets[number].refresh():
                    break
            await asyncio.sleep(REVIEW_S)

    def review(self) -> list[int]:
        """Note which buckets are owned; return those still to be read."""
        own_id = self._around.roster.own.id
        now_s = self._around.clock.monotonic_s()
        owned = [
            number
            for number, _ in enumerate(self._buckets)
            if self.owner(number).id == own_id
        ]
        self._since_s_by_bucket = {
            number: self._since_s_by_bucket.get(number, now_s)
            for number in owned
        }
        return [number for number in owned if not self.vouches(number)]
