"""Forwards keyed requests to the entry that owns the bucket of their key."""

from returns import result

from jackdawlatch.entry import (
    keyed_requests,
    outcomes,
    ownership,
    shared_dependencies,
)
from jackdawlatch.model import records, work
from jackdawlatch.node import roster as rosters
from jackdawlatch.peers import frames

# The owner replies by the deadline; this allows for the reply's transfer.
REPLY_MARGIN_S = 0.5
MAX_OWNERS = 2


class Forward(records.Record, frozen=True, kw_only=True):
    """A keyed request for the owner of its bucket.

    ``left_s`` is the time to the deadline in seconds, as clocks of hosts may
    differ.
    """

    request: work.Request
    left_s: float


class Forwarder:
    """Handles each keyed request at the owner of its bucket.

    ``serving`` counts the requests of other entries in progress here.
    """

    def __init__(
        self,
        dependencies: shared_dependencies.Dependencies,
        bucket_ownership: ownership.Ownership,
        local_requests: keyed_requests.KeyedRequests,
    ) -> None:
        self.serving = 0
        self._dependencies = dependencies
        self._ownership = bucket_ownership
        self._local_requests = local_requests
        dependencies.endpoint.handle(Forward, self._serve)

    async def run(self, request: work.Request) -> outcomes.Outcome:
        """Return the outcome of a keyed request.

        An unreachable owner is suspected, and the next one is tried; this
        entry handles the request itself if no owner can be reached.
        """
        for _ in range(MAX_OWNERS):
            owner = self._ownership.owner(
                self._local_requests.bucket_of(request)
            )
            if owner.id == self._dependencies.roster.local_peer.id:
                break
            reply = await self._forward(owner, request)
            if isinstance(reply, result.Success):
                return outcomes.from_message(reply.unwrap())
            self._dependencies.roster.suspect(owner)
            if isinstance(reply.failure(), frames.Unanswered):
                # The owner may have sent it, so not-run can't be reported.
                return outcomes.as_unknown(
                    await self._local_requests.handle_request(request),
                    f'the entry {owner.id} did not reply',
                )
        return await self._local_requests.handle_request(request)

    async def _forward(
        self, owner: rosters.Peer, request: work.Request
    ) -> result.Result[outcomes.Told, frames.CallFailure]:
        left_s = request.deadline_s - self._dependencies.clock.wall_s()
        self._dependencies.meters.count('keyed_forwards')
        return await self._dependencies.endpoint.call(
            owner.peer_address,
            Forward(request=request, left_s=left_s),
            outcomes.Told,
            max(0, left_s) + REPLY_MARGIN_S,
        )

    async def _serve(self, forward: Forward) -> outcomes.Told:
        deadline_s = self._dependencies.clock.wall_s() + forward.left_s
        request = records.replace(forward.request, deadline_s=deadline_s)
        self.serving += 1
        try:
            return outcomes.to_message(
                await self._local_requests.handle_request(request)
            )
        finally:
            self.serving -= 1
