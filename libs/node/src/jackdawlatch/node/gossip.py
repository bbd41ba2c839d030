"""Passes accepted documents and word of live peers from process to process."""

import asyncio
import contextlib

from returns import result

from jackdawlatch.model import records
from jackdawlatch.node import documents, parts, roster

PERIOD_S = 1
CALL_TIMEOUT_S = 2
HEARD_SAMPLE = 6


class Digest(records.Record, frozen=True, kw_only=True):
    """What the sender has, and of whom it heard."""

    sender: roster.Peer
    revisions_by_key: dict[str, int]
    heard: tuple[roster.Heard, ...] = ()


class Newer(records.Record, frozen=True, kw_only=True):
    """The documents of which the asker had less, and what the replier has."""

    accepted: tuple[documents.Document, ...] = ()
    revisions_by_key: dict[str, int] = {}
    sender: roster.Peer | None = None
    heard: tuple[roster.Heard, ...] = ()


class Push(records.Record, frozen=True, kw_only=True):
    """Documents of which the receiver had less."""

    accepted: tuple[documents.Document, ...] = ()


class Gossip:
    """Compares documents with one random peer a second."""

    def __init__(self, own: parts.Parts) -> None:
        self._endpoint = own.endpoint
        self._documents = own.documents
        self._roster = own.roster
        self._seeds = own.settings.seed_addresses
        self._rng = own.rng
        self._newest = asyncio.Event()
        self._endpoint.handle(Digest, self._compare)
        self._endpoint.handle(Push, self._take)
        self._documents.listen(self._notice)

    async def run(self) -> None:
        """Compare with a peer each period, and at once after a change."""
        while True:
            self._newest.clear()
            address = self._choose()
            if address:
                await self._exchange(address)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._newest.wait(), PERIOD_S)

    def _notice(self, _key: str) -> None:
        self._newest.set()

    def _choose(self) -> str:
        own = self._roster.own.peer_address
        known = {peer.peer_address for peer in self._roster.everyone()}
        # Seeds are few, and the only ones known to a process that was
        # started while the store is away.
        candidates = sorted((known | set(self._seeds)) - {own})
        return self._rng.choice(candidates) if candidates else ''

    async def _exchange(self, address: str) -> None:
        replied = await self._endpoint.call(
            address, self._digest(), Newer, CALL_TIMEOUT_S
        )
        if isinstance(replied, result.Failure):
            return
        newer = replied.unwrap()
        self._hear(newer.heard, newer.sender)
        self._offer(newer.accepted)
        missing = self._documents.newer_than(newer.revisions_by_key)
        if missing:
            push = Push(accepted=missing)
            await self._endpoint.call(address, push, Push, CALL_TIMEOUT_S)

    async def _compare(self, digest: Digest) -> Newer:
        self._hear(digest.heard, digest.sender)
        return Newer(
            accepted=self._documents.newer_than(digest.revisions_by_key),
            revisions_by_key=self._documents.revisions_by_key(),
            sender=self._roster.own,
            heard=self._roster.sample_heard(self._rng, HEARD_SAMPLE),
        )

    async def _take(self, push: Push) -> Push:
        self._offer(push.accepted)
        return Push()

    def _digest(self) -> Digest:
        return Digest(
            sender=self._roster.own,
            revisions_by_key=self._documents.revisions_by_key(),
            heard=self._roster.sample_heard(self._rng, HEARD_SAMPLE),
        )

    def _hear(
        self, heard: tuple[roster.Heard, ...], sender: roster.Peer | None
    ) -> None:
        for word in heard:
            self._roster.hear(word)
        if sender:
            self._roster.hear(roster.Heard(peer=sender))

    def _offer(self, offered: tuple[documents.Document, ...]) -> None:
        for document in offered:
            self._documents.offer(document)
