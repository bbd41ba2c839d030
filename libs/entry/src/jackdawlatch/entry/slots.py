"""Where a request gets a slot: from the service's broker, or the static share.

The broker of a service is served by the entry that rendezvous hashing names
among the entries.  While it can't be reached, this entry gives out its own
static share of every runner's slots.
"""

import abc
import asyncio
import uuid
from collections.abc import Mapping

from returns import result

from jackdawlatch.admission import limits, tickets
from jackdawlatch.entry import (
    brokers,
    slot_lines,
    slot_messages,
    surroundings,
)
from jackdawlatch.model import work
from jackdawlatch.node import roster as rosters
from jackdawlatch.routing import rendezvous

ENTRY_ROLE = 'entry'
RESYNC_S = 1
BROKER_TIMEOUT_S = 0.5


class Slots(abc.ABC):
    """Gives out the slots of runners to the requests of this entry."""

    @abc.abstractmethod
    async def acquire(
        self, request: work.Request, avoid: tuple[str, ...]
    ) -> slot_lines.Acquired:
        """Wait for a slot; a failure is always ``NotRun``.

        Cancelling the call gives up the place in the queue.
        """

    @abc.abstractmethod
    def release(self, grant: tickets.Grant, outcome: tickets.Outcome) -> None:
        """Give a slot back and say how its use ended."""


class BrokeredSlots(Slots):
    """Slots from the service's broker, or from the static share.

    While ``retiring`` is set, this entry leaves brokering to the others.
    """

    def __init__(self, around: surroundings.Surroundings) -> None:
        self.retiring = False
        self._around = around
        self._clock = around.clock
        self._lines_by_service: dict[str, slot_lines.Line] = {}
        self._flushes: set[asyncio.Task[None]] = set()
        self.brokers = brokers.Brokers(
            around, around.fleet.slots_by_host, self._push
        )
        self.shares = brokers.Brokers(
            around, self._static_slots, self._push_own
        )
        around.endpoint.handle(slot_messages.Update, self.brokers.update)
        around.endpoint.handle(slot_messages.News, self._receive)

    @property
    def waiting(self) -> int:
        """How many requests of this entry wait for a slot."""
        lines = self._lines_by_service.values()
        return sum(len(line.waiting_by_id) for line in lines)

    async def acquire(
        self, request: work.Request, avoid: tuple[str, ...]
    ) -> slot_lines.Acquired:
        """Wait for a slot of the request's service."""
        left_s = request.deadline_s - self._clock.wall_s()
        if left_s <= 0:
            return slot_lines.expired()
        ticket = tickets.Ticket(
            id=uuid.uuid4().hex,
            kind=request.kind,
            deadline_s=self._clock.monotonic_s() + left_s,
            entry=self._around.roster.own.id,
            idempotent=request.idempotent,
            avoid=avoid,
        )
        waiting = self._line(request.kind.service).want(ticket)
        self._flush_soon(request.kind.service)
        taken = False
        try:
            async with asyncio.timeout(left_s):
                acquired = await waiting.granted
            taken = True
            return acquired
        except TimeoutError:
            return slot_lines.expired()
        finally:
            self._settle(waiting, taken)

    def release(self, grant: tickets.Grant, outcome: tickets.Outcome) -> None:
        """Give a slot back; the broker learns of it with the next update."""
        service = grant.ticket.kind.service
        self._line(service).release(grant.ticket.id, outcome)
        self._flush_soon(service)

    async def run(self) -> None:
        """Tell the brokers all, over and over, until cancelled."""
        while True:
            await asyncio.sleep(RESYNC_S)
            for service in tuple(self._lines_by_service):
                await self._synchronize(service)

    def _line(self, service: str) -> slot_lines.Line:
        line = self._lines_by_service.get(service)
        if line is None:
            own = self._around.roster.own
            line = slot_lines.Line(service, own, self._clock)
            self._lines_by_service[service] = line
        return line

    def _settle(self, waiting: slot_lines.Waiting, taken: bool) -> None:
        service = waiting.ticket.kind.service
        line = self._line(service)
        line.settle(waiting)
        if not taken and waiting.ticket.id in line.held_by_id:
            line.release(waiting.ticket.id, tickets.Outcome.UNUSED)
        if not taken:
            self._flush_soon(service)

    def _flush_soon(self, service: str) -> None:
        line = self._line(service)
        if line.flushing:
            return
        line.flushing = True
        flush = asyncio.create_task(self._flush(service, line))
        self._flushes.add(flush)
        flush.add_done_callback(self._flushes.discard)

    async def _flush(self, service: str, line: slot_lines.Line) -> None:
        # Let all requests of this turn of the loop share one update.
        await asyncio.sleep(0)
        line.flushing = False
        owner = self._owner(service)
        if line.broker == owner.id:
            if not await self._tell(owner, line.changes()):
                await self._share(service, line)
        elif not line.broker and service in self.shares.services:
            line.take(await self.shares.update(line.changes()))
        else:
            await self._synchronize(service)

    async def _synchronize(self, service: str) -> None:
        """Tell the broker all, after a change of brokers or a lost word."""
        line = self._line(service)
        owner = self._owner(service)
        if await self._tell(owner, line.everything()):
            line.broker = owner.id
            self.shares.forget(service)
        else:
            await self._share(service, line)

    async def _share(self, service: str, line: slot_lines.Line) -> None:
        """Go over to the static share, or tell it all again."""
        line.broker = ''
        line.take(await self.shares.update(line.everything()))

    async def _tell(
        self, owner: rosters.Peer, update: slot_messages.Update
    ) -> bool:
        line = self._line(update.service)
        if owner.id == self._around.roster.own.id:
            line.take(await self.brokers.update(update))
            return True
        replied = await self._around.endpoint.call(
            owner.peer_address, update, slot_messages.News, BROKER_TIMEOUT_S
        )
        if isinstance(replied, result.Failure):
            return False
        line.take(replied.unwrap())
        return True

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

    def _owner(self, service: str) -> rosters.Peer:
        entries_by_id = self._entries()
        chosen = rendezvous.owner(f'slots/{service}', entries_by_id)
        return entries_by_id.get(chosen or '', self._around.roster.own)

    def _static_slots(self, service: str) -> Mapping[str, int]:
        return limits.static_slots(
            self._around.fleet.slots_by_host(service),
            tuple(self._entries()),
            self._around.roster.own.id,
        )

    async def _receive(self, news: slot_messages.News) -> slot_messages.Noted:
        self._line(news.service).take(news)
        return slot_messages.Noted()

    async def _push(self, address: str, news: slot_messages.News) -> None:
        if address == self._around.roster.own.peer_address:
            self._line(news.service).take(news)
            return
        await self._around.endpoint.call(
            address, news, slot_messages.Noted, BROKER_TIMEOUT_S
        )

    async def _push_own(self, _address: str, news: slot_messages.News) -> None:
        self._line(news.service).take(news)
