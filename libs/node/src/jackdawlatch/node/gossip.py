"""Spreads accepted documents and reports of live peers by gossip."""

import asyncio
import contextlib

from returns import result

from jackdawlatch.model import records
from jackdawlatch.node import dependencies as node_dependencies
from jackdawlatch.node import documents, roster

PERIOD_S = 1
CALL_TIMEOUT_S = 2
HEARD_SAMPLE_PEERS = 6


class Digest(records.Record, frozen=True, kw_only=True):
    """The sender's document revisions and its reports of live peers."""

    sender: roster.Peer
    revisions_by_key: dict[str, int]
    heard: tuple[roster.Heard, ...] = ()


class Newer(records.Record, frozen=True, kw_only=True):
    """Reply to a digest: newer documents and the replier's revisions."""

    accepted: tuple[documents.Document, ...] = ()
    revisions_by_key: dict[str, int] = {}
    sender: roster.Peer | None = None
    heard: tuple[roster.Heard, ...] = ()


class Push(records.Record, frozen=True, kw_only=True):
    """Documents that are newer than those of the receiver."""

    accepted: tuple[documents.Document, ...] = ()


class Gossip:
    """Exchanges documents with one random peer each ``PERIOD_S``."""

    def __init__(self, dependencies: node_dependencies.Dependencies) -> None:
        self._endpoint = dependencies.endpoint
        self._documents = dependencies.documents
        self._roster = dependencies.roster
        self._seeds = dependencies.settings.seed_addresses
        self._rng = dependencies.rng
        self._changed = asyncio.Event()
        self._endpoint.handle(Digest, self._handle_digest)
        self._endpoint.handle(Push, self._handle_push)
        self._documents.subscribe(self._document_changed)

    async def run(self) -> None:
        """Gossip each period, and at once when a document changes."""
        while True:
            self._changed.clear()
            address = self._choose_address()
            if address:
                await self._exchange(address)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), PERIOD_S)

    def _document_changed(self, _key: str) -> None:
        self._changed.set()

    def _choose_address(self) -> str:
        own_address = self._roster.local_peer.peer_address
        live_addresses = {
            peer.peer_address for peer in self._roster.all_peers()
        }
        # The seeds are few; a process that starts during a store outage knows
        # no other address.
        candidates = sorted((live_addresses | set(self._seeds)) - {own_address})
        return self._rng.choice(candidates) if candidates else ''

    async def _exchange(self, address: str) -> None:
        replied = await self._endpoint.call(
            address, self._digest(), Newer, CALL_TIMEOUT_S
        )
        if isinstance(replied, result.Failure):
            return
        newer = replied.unwrap()
        self._record_heard(newer.heard, newer.sender)
        self._apply(newer.accepted)
        missing_at_peer = self._documents.newer_than(newer.revisions_by_key)
        if missing_at_peer:
            push = Push(accepted=missing_at_peer)
            await self._endpoint.call(address, push, Push, CALL_TIMEOUT_S)

    async def _handle_digest(self, digest: Digest) -> Newer:
        self._record_heard(digest.heard, digest.sender)
        return Newer(
            accepted=self._documents.newer_than(digest.revisions_by_key),
            revisions_by_key=self._documents.revisions_by_key(),
            sender=self._roster.local_peer,
            heard=self._roster.sample_heard(self._rng, HEARD_SAMPLE_PEERS),
        )

    async def _handle_push(self, push: Push) -> Push:
        self._apply(push.accepted)
        return Push()

    def _digest(self) -> Digest:
        return Digest(
            sender=self._roster.local_peer,
            revisions_by_key=self._documents.revisions_by_key(),
            heard=self._roster.sample_heard(self._rng, HEARD_SAMPLE_PEERS),
        )

    def _record_heard(
        self, heard: tuple[roster.Heard, ...], sender: roster.Peer | None
    ) -> None:
        for report in heard:
            self._roster.record_heard(report)
        if sender:
            self._roster.record_heard(roster.Heard(peer=sender))

    def _apply(self, received: tuple[documents.Document, ...]) -> None:
        for document in received:
            self._documents.apply(document)
