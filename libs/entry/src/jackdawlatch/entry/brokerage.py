"""Finds and calls the broker of a service, and serves those of this entry.

The broker of a service is served by the entry that rendezvous hashing names
among the entries.
"""

from collections.abc import Callable, Mapping

from returns import result

from jackdawlatch.admission import limits
from jackdawlatch.entry import brokers, slot_messages, surroundings
from jackdawlatch.node import roster as rosters
from jackdawlatch.peers import frames
from jackdawlatch.routing import rendezvous

ENTRY_ROLE = 'entry'
BROKER_TIMEOUT_S = 0.5

Told = result.Result[slot_messages.News, frames.CallFailure]
Deliver = Callable[[slot_messages.News], None]


class Brokerage:
    """The brokers of this entry and the way to those of its peers.

    ``brokers`` serves all entries; ``shares`` gives this entry its static
    share of the slots.  News for this entry goes to ``deliver``.  While
    ``retiring`` is set, this entry leaves brokering to the others.
    """

    def __init__(self, around: surroundings.Surroundings) -> None:
        self.retiring = False
        self.deliver: Deliver = _drop
        self._around = around
        self.brokers = brokers.Brokers(
            around, around.fleet.slots_by_host, self._push
        )
        self.shares = brokers.Brokers(
            around, self._static_slots, self._push_own
        )
        around.endpoint.handle(slot_messages.Update, self.brokers.update)
        around.endpoint.handle(slot_messages.News, self._receive)

    def owner(self, service: str) -> rosters.Peer:
        """Return the entry that serves the broker of a service."""
        entries_by_id = self._entries()
        chosen = rendezvous.owner(f'slots/{service}', entries_by_id)
        return entries_by_id.get(chosen or '', self._around.roster.own)

    async def tell(
        self, owner: rosters.Peer, update: slot_messages.Update
    ) -> Told:
        """Tell a broker what changed; return its news."""
        if owner.id == self._around.roster.own.id:
            return result.Success(await self.brokers.update(update))
        return await self._around.endpoint.call(
            owner.peer_address, update, slot_messages.News, BROKER_TIMEOUT_S
        )

    def refresh(self) -> None:
        """Apply a change of the documents."""
        self.brokers.refresh()
        self.shares.refresh()

    def _entries(self) -> dict[str, rosters.Peer]:
        own = self._around.roster.own
        entries_by_id = {
            peer.id: peer
            for peer in self._around.roster.everyone()
            if peer.role == ENTRY_ROLE
        }
        if self.retiring and len(entries_by_id) > 1:
            entries_by_id.pop(own.id, None)
        return entries_by_id

    def _static_slots(self, service: str) -> Mapping[str, int]:
        return limits.static_slots(
            self._around.fleet.slots_by_host(service),
            tuple(self._entries()),
            self._around.roster.own.id,
        )

    async def _receive(self, news: slot_messages.News) -> slot_messages.Noted:
        self.deliver(news)
        return slot_messages.Noted()

    async def _push(self, address: str, news: slot_messages.News) -> None:
        if address == self._around.roster.own.peer_address:
            self.deliver(news)
            return
        await self._around.endpoint.call(
            address, news, slot_messages.Noted, BROKER_TIMEOUT_S
        )

    async def _push_own(self, _address: str, news: slot_messages.News) -> None:
        self.deliver(news)


def _drop(_news: slot_messages.News) -> None:
    """Drop news that come before the slots are wired."""
