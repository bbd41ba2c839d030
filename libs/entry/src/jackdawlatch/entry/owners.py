"""Which entry takes the keyed requests of a bucket, and passes them there."""

import asyncio
from collections.abc import Iterable

from returns import result

from jackdawlatch.entry import keyed, outcomes, surroundings
from jackdawlatch.model import records, work
from jackdawlatch.node import roster as rosters
from jackdawlatch.peers import frames
from jackdawlatch.routing import rendezvous

ENTRY_ROLE = 'entry'
REVIEW_S = 0.25
# The owner tells the outcome by the deadline; this is for the way back.
RETURN_S = 0.5
MAX_OWNERS = 2


class Forward(records.Record, frozen=True, kw_only=True):
    """A keyed request for the owner of its bucket.

    ``left_s`` is the time to its deadline: hosts' clocks may differ.
    """

    request: work.Request
    left_s: float


class Owners:
    """Passes keyed requests on to the owners of their buckets.

    It also knows since when this process has owned each bucket, and reads
    a bucket when it becomes its owner.
    """

    def __init__(self, around: surroundings.Surroundings) -> None:
        self.retiring = False
        self.serving = 0
        self._around = around
        self._since_s_by_bucket: dict[int, float] = {}
        self._own: keyed.Keyed | None = None

    def attach(self, own: keyed.Keyed) -> None:
        """Serve requests by ``own``, forwarded ones included."""
        self._own = own
        self._around.endpoint.handle(Forward, self._serve)

    async def run_request(self, request: work.Request) -> outcomes.Outcome:
        """Return the outcome of a keyed request, from whichever entry."""
        own = self._attached()
        for _ in range(MAX_OWNERS):
            owner = self._owner(own.bucket_of(request))
            if owner.id == self._around.roster.own.id:
                return await own.attend(request)
            told = await self._forward(owner, request)
            if isinstance(told, result.Success):
                return outcomes.heard(told.unwrap())
            self._around.roster.suspect(owner)
            if isinstance(told.failure(), frames.Unanswered):
                # The owner may have sent it: not-run can't be vouched for.
                return outcomes.as_unknown(
                    await own.attend(request),
                    f'no word from the entry {owner.id}',
                )
        return await own.attend(request)

    def vouches(self, bucket: int) -> bool:
        """Say whether this process knows all that was sent of a bucket.

        It does if it has read the bucket since it became the owner.
        """
        since_s = self._since_s_by_bucket.get(bucket)
        contact_s = self._attached().buckets[bucket].contact_s
        if since_s is None or contact_s is None:
            return False
        return contact_s >= since_s

    async def run(self) -> None:
        """Follow who owns which bucket, until cancelled."""
        while True:
            await self._read(self.review())
            await asyncio.sleep(REVIEW_S)

    def review(self) -> list[int]:
        """Note which buckets are owned; return those still to be read."""
        own_id = self._around.roster.own.id
        now_s = self._around.clock.monotonic_s()
        owned = [
            number
            for number, _ in enumerate(self._attached().buckets)
            if self._owner(number).id == own_id
        ]
        self._since_s_by_bucket = {
            number: self._since_s_by_bucket.get(number, now_s)
            for number in owned
        }
        return [number for number in owned if not self.vouches(number)]

    async def _read(self, numbers: Iterable[int]) -> None:
        for number in numbers:
            if not await self._attached().buckets[number].refresh():
                return

    def _attached(self) -> keyed.Keyed:
        if self._own is None:
            raise RuntimeError('attach() comes first')
        return self._own

    async def _forward(
        self, owner: rosters.Peer, request: work.Request
    ) -> result.Result[outcomes.Told, frames.CallFailure]:
        left_s = request.deadline_s - self._around.clock.wall_s()
        self._around.meters.count('keyed_forwards')
        return await self._around.endpoint.call(
            owner.peer_address,
            Forward(request=request, left_s=left_s),
            outcomes.Told,
            max(0, left_s) + RETURN_S,
        )

    async def _serve(self, forward: Forward) -> outcomes.Told:
        deadline_s = self._around.clock.wall_s() + forward.left_s
        request = records.replace(forward.request, deadline_s=deadline_s)
        self.serving += 1
        try:
            return outcomes.tell(await self._attached().attend(request))
        finally:
            self.serving -= 1

    def _owner(self, bucket: int) -> rosters.Peer:
        own = self._around.roster.own
        entries_by_id = {
            peer.id: peer for peer in self._around.roster.by_role(ENTRY_ROLE)
        }
        if self.retiring and len(entries_by_id) > 1:
            entries_by_id.pop(own.id, None)
        chosen = rendezvous.owner(f'intents/{bucket}', entries_by_id)
        return entries_by_id.get(chosen or '', own)
