"""Passes keyed requests on to the entry that owns the bucket of their key."""

from returns import result

from jackdawlatch.entry import keyed, outcomes, ownership, surroundings
from jackdawlatch.model import records, work
from jackdawlatch.node import roster as rosters
from jackdawlatch.peers import frames

# The owner tells the outcome by the deadline; this is for the way back.
RETURN_S = 0.5
MAX_OWNERS = 2


class Forward(records.Record, frozen=True, kw_only=True):
    """A keyed request for the owner of its bucket.

    ``left_s`` is the time to its deadline: hosts' clocks may differ.
    """

    request: work.Request
    left_s: float


class Forwarder:
    """Takes keyed requests where their bucket's owner is."""

    def __init__(
        self,
        around: surroundings.Surroundings,
        owners: ownership.Ownership,
        own: keyed.Keyed,
    ) -> None:
        self.serving = 0
        self._around = around
        self._owners = owners
        self._own = own
        around.endpoint.handle(Forward, self._serve)

    async def run(self, request: work.Request) -> outcomes.Outcome:
        """Return the outcome of a keyed request, from whichever entry."""
        for _ in range(MAX_OWNERS):
            owner = self._owners.owner(self._own.bucket_of(request))
            if owner.id == self._around.roster.own.id:
                break
            told = await self._forward(owner, request)
            if isinstance(told, result.Success):
                return outcomes.heard(told.unwrap())
            self._around.roster.suspect(owner)
            if isinstance(told.failure(), frames.Unanswered):
                # The owner may have sent it: not-run can't be vouched for.
                return outcomes.as_unknown(
                    await self._own.attend(request),
                    f'no word from the entry {owner.id}',
                )
        return await self._own.attend(request)

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
            return outcomes.tell(await self._own.attend(request))
        finally:
            self.serving -= 1
