"""Tracks the entries that share work, without those that are stopping."""

import asyncio
from collections.abc import Iterable

from jackdawlatch.model import records
from jackdawlatch.node import roster as rosters
from jackdawlatch.peers import endpoint as endpoints

ENTRY_ROLE = 'entry'
NOTIFY_TIMEOUT_S = 1


class EntryStopping(records.Record, frozen=True, kw_only=True):
    """The sender takes on no new work and only finishes what it has."""

    peer: rosters.Peer


class Noted(records.Record, frozen=True, kw_only=True):
    """The reply to ``EntryStopping``."""


class EntryPeers:
    """The entries that may own buckets and brokers.

    A stopping entry notifies its peers itself, since gossip may go on listing
    it as alive for a while.
    """

    def __init__(
        self, roster: rosters.Roster, endpoint: endpoints.Endpoint
    ) -> None:
        self._roster = roster
        self._endpoint = endpoint
        self._stopping: set[rosters.Peer] = set()
        endpoint.handle(EntryStopping, self._handle_stopping)

    @property
    def own(self) -> rosters.Peer:
        """The entry that this process runs."""
        return self._roster.local_peer

    def registered(self) -> dict[str, rosters.Peer]:
        """Return the live entries by id, unreachable ones included."""
        return self._without_stopping(self._roster.all_peers())

    def reachable(self) -> dict[str, rosters.Peer]:
        """Return the live entries by id, without those a call did not reach."""
        return self._without_stopping(self._roster.by_role(ENTRY_ROLE))

    def others(self) -> list[rosters.Peer]:
        """Return all entries but this one."""
        return [
            peer
            for peer in self.registered().values()
            if peer.id != self.own.id
        ]

    async def retire(self) -> None:
        """Hand over all work to the other entries, and notify them.

        Does nothing if there are no others.
        """
        message = EntryStopping(peer=self.own)
        calls = [
            self._endpoint.call(
                peer.peer_address, message, Noted, NOTIFY_TIMEOUT_S
            )
            for peer in self.others()
        ]
        if calls:
            self._stopping.add(self.own)
            await asyncio.gather(*calls)

    def _without_stopping(
        self, peers: Iterable[rosters.Peer]
    ) -> dict[str, rosters.Peer]:
        return {
            peer.id: peer
            for peer in peers
            if peer.role == ENTRY_ROLE and peer not in self._stopping
        }

    async def _handle_stopping(self, message: EntryStopping) -> Noted:
        self._stopping.add(message.peer)
        return Noted()
