"""Where a request gets a slot: from the service's broker, or the static share.

While the broker can't be reached, this entry gives out its own static share
of every runner's slots.
"""

import abc
import asyncio
import uuid

from returns import result

from jackdawlatch.admission import tickets
from jackdawlatch.entry import (
    brokerage,
    charging,
    slot_lines,
    surroundings,
)
from jackdawlatch.model import work

RESYNC_S = 1


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
    """Slots from the service's broker, or from the static share."""

    def __init__(
        self,
        around: surroundings.Surroundings,
        own_brokerage: brokerage.Brokerage,
    ) -> None:
        self._around = around
        self._clock = around.clock
        self._brokerage = own_brokerage
        self._lines_by_service: dict[str, slot_lines.Line] = {}
        self._flushes: set[asyncio.Task[None]] = set()
        own_brokerage.deliver = lambda news: self._line(news.service).take(news)
        own_brokerage.held = lambda service: self._line(service).held()

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
            kind=charging.charged(request.kind, self._around.fleet.preset),
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
            await self.synchronize()

    async def synchronize(self) -> None:
        """Tell the brokers all that this entry wants and holds."""
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
        owner = self._brokerage.owner(service)
        if line.broker == owner:
            told = await self._brokerage.tell(owner, line.changes())
            await self._heed(service, line, told)
        elif not line.broker and self._brokerage.shares.serves(service):
            line.take(await self._brokerage.shares.update(line.changes()))
        else:
            await self._synchronize(service)

    async def _synchronize(self, service: str) -> None:
        """Tell the broker all, after a change of brokers or a lost word."""
        line = self._line(service)
        owner = self._brokerage.owner(service)
        told = await self._brokerage.tell(owner, line.everything())
        if isinstance(told, result.Success):
            former, line.broker = line.broker, owner
            self._brokerage.shares.forget(service)
            if former not in {None, owner}:
                self._brokerage.part(former, line.farewell())
        await self._heed(service, line, told)

    async def _heed(
        self, service: str, line: slot_lines.Line, told: brokerage.Told
    ) -> None:
        """Take in what the broker said; without a word share statically."""
        if isinstance(told, result.Failure):
            line.broker = None
            shares = self._brokerage.shares
            line.take(await shares.update(line.everything()))
        else:
            line.take(told.unwrap())
