"""Finds and calls the broker of a service, and serves those of this entry.

The broker of a service is served by the entry that rendezvous hashing names
among the entries.
"""

import asyncio
from collections.abc import Callable, Mapping

from returns import result

from jackdawlatch.admission import limits
from jackdawlatch.entry import brokers, slot_messages, surroundings
from jackdawlatch.node import roster as rosters
from jackdawlatch.peers import frames
from jackdawlatch.routing import rendezvous

BROKER_TIMEOUT_S = 0.5
COLLECT_TIMEOUT_S = 0.25

Told = result.Result[slot_messages.News, frames.CallFailure]
Deliver = Callable[[slot_messages.News], None]
Held = Callable[[str], slot_messages.Update]


class Brokerage:
    """The brokers of this entry and the way to those of its peers.

    ``brokers`` serves all entries; ``shares`` gives this entry its static
    share of the slots.  News for this entry goes to ``deliver``, and
    ``held`` says what slots it holds.  While
    ``retiring`` is set, this entry leaves brokering to the others.
    """

    def __init__(self, around: surroundings.Surroundings) -> None:
        self.deliver: Deliver = _drop
        self.held: Held = _hold_none
        self._around = around
        self._partings: set[asyncio.Task[None]] = set()
        self.brokers = brokers.Brokers(
            around, around.fleet.slots_by_host, self._collect, self._push
        )
        self.shares = brokers.Brokers(
            around, self._static_slots, _collect_none, self._push_own
        )
        around.endpoint.handle(slot_messages.Update, self.brokers.update)
        around.endpoint.handle(slot_messages.News, self._receive)
        around.endpoint.handle(slot_messages.Collect, self._report)

    def owner(self, service: str) -> rosters.Peer:
        """Return the entry that serves the broker of a service."""
        entries_by_id = self._around.members.registered()
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

    def part(self, former: rosters.Peer, update: slot_messages.Update) -> None:
        """Tell a former broker that this entry uses another one."""
        parting = asyncio.create_task(self._part(former, update))
        self._partings.add(parting)
        parting.add_done_callback(self._partings.discard)

    def refresh(self) -> None:
        """Apply a change of the documents."""
        self.brokers.refresh()
        self.shares.refresh()

    def _static_slots(self, service: str) -> Mapping[str, int]:
        return limits.static_slots(
            self._around.fleet.slots_by_host(service),
            tuple(self._around.members.registered()),
            self._around.roster.own.id,
        )

    async def _part(
        self, former: rosters.Peer, update: slot_messages.Update
    ) -> None:
        await self.tell(former, update)

    async def _collect(self, service: str) -> list[slot_messages.Update]:
        """Return what every entry holds of a service, if it answers."""
        message = slot_messages.Collect(service=service)
        replies = await asyncio.gather(
            *(
                self._around.endpoint.call(
                    peer.peer_address,
                    message,
                    slot_messages.Update,
                    COLLECT_TIMEOUT_S,
                )
                for peer in self._around.members.others()
            )
        )
        return [
            self.held(service),
            *(
                reply.unwrap()
                for reply in replies
                if isinstance(reply, result.Success)
            ),
        ]

    async def _report(
        self, message: slot_messages.Collect
    ) -> slot_messages.Update:
        return self.held(message.service)

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


async def _collect_none(_service: str) -> tuple[slot_messages.Update, ...]:
    return ()


def _hold_none(service: str) -> slot_messages.Update:
    """Hold nothing before the slots are wired."""
    return slot_messages.Update(service=service, entry='', address='')


def _drop(_news: slot_messages.News) -> None:
    """Drop news that come before the slots are wired."""
