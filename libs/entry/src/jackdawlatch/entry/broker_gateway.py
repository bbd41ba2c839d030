"""Finds and calls the broker of a service, and serves those of this entry.

The broker of a service is served by the entry that rendezvous hashing
selects.
"""

import asyncio
from collections.abc import Callable, Mapping

from returns import result

from jackdawlatch.admission import limits
from jackdawlatch.entry import brokers, shared_dependencies, slot_messages
from jackdawlatch.node import roster as rosters
from jackdawlatch.peers import frames
from jackdawlatch.routing import rendezvous

BROKER_TIMEOUT_S = 0.5
COLLECT_TIMEOUT_S = 0.25

BrokerReply = result.Result[slot_messages.News, frames.CallFailure]
Deliver = Callable[[slot_messages.News], None]
HeldUpdate = Callable[[str], slot_messages.Update]


class BrokerGateway:
    """The brokers of this entry, and access to those of its peers.

    ``brokers`` serves all entries; ``static_brokers`` grants this entry its
    static share of the slots.  News for this entry is passed to ``deliver``,
    and ``held_update`` returns the slots that it holds.
    """

    def __init__(self, dependencies: shared_dependencies.Dependencies) -> None:
        self.deliver: Deliver = _ignore_news
        self.held_update: HeldUpdate = _empty_update
        self._dependencies = dependencies
        self._farewells: set[asyncio.Task[None]] = set()
        self.brokers = brokers.Brokers(
            dependencies,
            dependencies.fleet.slots_by_host,
            self._collect,
            self._push,
        )
        self.static_brokers = brokers.Brokers(
            dependencies, self._static_slots, _collect_nothing, self._push_local
        )
        dependencies.endpoint.handle(slot_messages.Update, self.brokers.update)
        dependencies.endpoint.handle(slot_messages.News, self._handle_news)
        dependencies.endpoint.handle(
            slot_messages.Collect, self._handle_collect
        )

    def owner(self, service: str) -> rosters.Peer:
        """Return the entry that serves the broker of a service."""
        entries_by_id = self._dependencies.entry_peers.registered()
        chosen = rendezvous.owner(f'slots/{service}', entries_by_id)
        return entries_by_id.get(
            chosen or '', self._dependencies.roster.local_peer
        )

    async def send_update(
        self, owner: rosters.Peer, update: slot_messages.Update
    ) -> BrokerReply:
        """Send an update to a broker; return its news."""
        if owner.id == self._dependencies.roster.local_peer.id:
            return result.Success(await self.brokers.update(update))
        return await self._dependencies.endpoint.call(
            owner.peer_address, update, slot_messages.News, BROKER_TIMEOUT_S
        )

    def send_farewell(
        self, former: rosters.Peer, update: slot_messages.Update
    ) -> None:
        """Notify a former broker, in the background."""
        farewell = asyncio.create_task(self._send_farewell(former, update))
        self._farewells.add(farewell)
        farewell.add_done_callback(self._farewells.discard)

    def refresh(self) -> None:
        """Apply a change of the documents to all brokers."""
        self.brokers.refresh()
        self.static_brokers.refresh()

    def _static_slots(self, service: str) -> Mapping[str, int]:
        return limits.static_slots(
            self._dependencies.fleet.slots_by_host(service),
            tuple(self._dependencies.entry_peers.registered()),
            self._dependencies.roster.local_peer.id,
        )

    async def _send_farewell(
        self, former: rosters.Peer, update: slot_messages.Update
    ) -> None:
        await self.send_update(former, update)

    async def _collect(self, service: str) -> list[slot_messages.Update]:
        """Return the held slots of a service at each entry that replies."""
        message = slot_messages.Collect(service=service)
        replies = await asyncio.gather(
            *(
                self._dependencies.endpoint.call(
                    peer.peer_address,
                    message,
                    slot_messages.Update,
                    COLLECT_TIMEOUT_S,
                )
                for peer in self._dependencies.entry_peers.others()
            )
        )
        return [
            self.held_update(service),
            *(
                reply.unwrap()
                for reply in replies
                if isinstance(reply, result.Success)
            ),
        ]

    async def _handle_collect(
        self, message: slot_messages.Collect
    ) -> slot_messages.Update:
        return self.held_update(message.service)

    async def _handle_news(
        self, news: slot_messages.News
    ) -> slot_messages.Noted:
        self.deliver(news)
        return slot_messages.Noted()

    async def _push(self, address: str, news: slot_messages.News) -> None:
        if address == self._dependencies.roster.local_peer.peer_address:
            self.deliver(news)
            return
        await self._dependencies.endpoint.call(
            address, news, slot_messages.Noted, BROKER_TIMEOUT_S
        )

    async def _push_local(
        self, _address: str, news: slot_messages.News
    ) -> None:
        self.deliver(news)


async def _collect_nothing(_service: str) -> tuple[slot_messages.Update, ...]:
    return ()


def _empty_update(service: str) -> slot_messages.Update:
    """Return no held slots, before ``held_update`` is set."""
    return slot_messages.Update(service=service, entry='', address='')


def _ignore_news(_news: slot_messages.News) -> None:
    """Drop news that arrive before ``deliver`` is set."""
