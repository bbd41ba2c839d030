"""The entries that share work, without those that are stopping."""

import asyncio
from collections.abc import Iterable

from jackdawlatch.model import records
from jackdawlatch.node import roster as rosters
from jackdawlatch.peers import endpoint as endpoints

ENTRY_ROLE = 'entry'
TELL_TIMEOUT_S = 1


class EntryStopping(records.Record, frozen=True, kw_only=True):
    """The sender takes over nothing more; it only ends what it has."""

    peer: rosters.Peer


class Noted(records.Record, frozen=True, kw_only=True):
    """The reply to word of a stop."""


class Members:
    """Which entries may own buckets and brokers.

    A stopping entry says so itself, since word of it may go on spreading
    between peers for a while.
    """

    def __init__(
        self, roster: rosters.Roster, endpoint: endpoints.Endpoint
    ) -> None:
        self._roster = roster
        self._endpoint = endpoint
        self._stopping: set[rosters.Peer] = set()
        endpoint.handle(EntryStopping, self._note)

    @property
    def own(self) -> rosters.Peer:
        """The entry of this process."""
        return self._roster.own

    def registered(self) -> dict[str, rosters.Peer]:
        """Return the entries that are registered or heard of, by id."""
        return self._without_stopping(self._roster.everyone())

    def reachable(self) -> dict[str, rosters.Peer]:
        """Return those that no call of this process has failed to reach."""
        return self._without_stopping(self._roster.by_role(ENTRY_ROLE))

    def others(self) -> list[rosters.Peer]:
        """Return all entries but this one."""
        return [
            peer
            for peer in self.registered().values()
            if peer.id != self.own.id
        ]

    async def retire(self) -> None:
        """Leave all work to the others, and tell them so."""
        told = EntryStopping(peer=self.own)
        calls = [
            self._endpoint.call(peer.peer_address, told, Noted, TELL_TIMEOUT_S)
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

    async def _note(self, message: EntryStopping) -> Noted:
        self._stopping.add(message.peer)
        return Noted()
