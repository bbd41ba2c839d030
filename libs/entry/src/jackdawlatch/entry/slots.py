"""Acquires slots from a service's broker, or from the static share.

While the broker can't be reached, this entry grants slots from its own static
share of every runner's slots.
"""

import abc
import asyncio
import uuid

from returns import result

from jackdawlatch.admission import tickets
from jackdawlatch.entry import (
    broker_gateway,
    charging,
    service_slots,
    shared_dependencies,
)
from jackdawlatch.model import work

RESYNC_INTERVAL_S = 1


class Slots(abc.ABC):
    """Acquires and releases slots of runners for requests."""

    @abc.abstractmethod
    async def acquire(
        self, request: work.Request, avoid: tuple[str, ...]
    ) -> service_slots.Acquired:
        """Wait for a slot, preferably not at a host in ``avoid``.

        A failure is always ``NotRun``.  Cancelling the call leaves the queue.
        """

    @abc.abstractmethod
    def release(self, grant: tickets.Grant, outcome: tickets.Outcome) -> None:
        """Release a slot and report how its use ended."""


class BrokeredSlots(Slots):
    """Acquires slots from the service's broker or the static share."""

    def __init__(
        self,
        dependencies: shared_dependencies.Dependencies,
        gateway: broker_gateway.BrokerGateway,
    ) -> None:
        self._dependencies = dependencies
        self._clock = dependencies.clock
        self._gateway = gateway
        self._slots_by_service: dict[str, service_slots.ServiceSlots] = {}
        self._flushes: set[asyncio.Task[None]] = set()
        gateway.deliver = lambda news: self._slots_of(news.service).apply_news(
            news
        )
        gateway.held_update = lambda service: self._slots_of(
            service
        ).held_update()

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait for a slot."""
        all_slots = self._slots_by_service.values()
        return sum(len(slots.waiting_by_id) for slots in all_slots)

    async def acquire(
        self, request: work.Request, avoid: tuple[str, ...]
    ) -> service_slots.Acquired:
        """Wait for a slot of the request's service until its deadline."""
        left_s = request.deadline_s - self._clock.wall_s()
        if left_s <= 0:
            return service_slots.deadline_passed()
        ticket = tickets.Ticket(
            id=uuid.uuid4().hex,
            kind=charging.charged_kind(
                request.kind, self._dependencies.fleet.preset
            ),
            deadline_s=self._clock.monotonic_s() + left_s,
            entry=self._dependencies.roster.local_peer.id,
            idempotent=request.idempotent,
            avoid=avoid,
        )
        waiting = self._slots_of(request.kind.service).add(ticket)
        self._schedule_flush(request.kind.service)
        received = False
        try:
            async with asyncio.timeout(left_s):
                acquired = await waiting.granted
            received = True
            return acquired
        except TimeoutError:
            return service_slots.deadline_passed()
        finally:
            self._finish_waiting(waiting, received)

    def release(self, grant: tickets.Grant, outcome: tickets.Outcome) -> None:
        """Release a slot; the next update reports it to the broker."""
        service = grant.ticket.kind.service
        self._slots_of(service).release(grant.ticket.id, outcome)
        self._schedule_flush(service)

    async def run(self) -> None:
        """Send full updates to the brokers periodically until cancelled."""
        while True:
            await asyncio.sleep(RESYNC_INTERVAL_S)
            await self.synchronize()

    async def synchronize(self) -> None:
        """Send each broker all waiting tickets and held slots."""
        for service in tuple(self._slots_by_service):
            await self._synchronize(service)

    def _slots_of(self, service: str) -> service_slots.ServiceSlots:
        slots = self._slots_by_service.get(service)
        if slots is None:
            local_entry = self._dependencies.roster.local_peer
            slots = service_slots.ServiceSlots(
                service, local_entry, self._clock
            )
            self._slots_by_service[service] = slots
        return slots

    def _finish_waiting(
        self, waiting: service_slots.WaitingTicket, received: bool
    ) -> None:
        service = waiting.ticket.kind.service
        slots = self._slots_of(service)
        slots.remove(waiting)
        if not received and waiting.ticket.id in slots.held_by_id:
            slots.release(waiting.ticket.id, tickets.Outcome.UNUSED)
        if not received:
            self._schedule_flush(service)

    def _schedule_flush(self, service: str) -> None:
        slots = self._slots_of(service)
        if slots.flushing:
            return
        slots.flushing = True
        flush = asyncio.create_task(self._flush(service, slots))
        self._flushes.add(flush)
        flush.add_done_callback(self._flushes.discard)

    async def _flush(
        self, service: str, slots: service_slots.ServiceSlots
    ) -> None:
        # All requests of this event loop iteration share one update.
        await asyncio.sleep(0)
        slots.flushing = False
        owner = self._gateway.owner(service)
        if slots.broker == owner:
            reply = await self._gateway.send_update(
                owner, slots.pending_update()
            )
            await self._apply_reply(service, slots, reply)
        elif not slots.broker and self._gateway.static_brokers.serves(service):
            slots.apply_news(
                await self._gateway.static_brokers.update(
                    slots.pending_update()
                )
            )
        else:
            await self._synchronize(service)

    async def _synchronize(self, service: str) -> None:
        """Send a full update, after a change of brokers or a lost message."""
        slots = self._slots_of(service)
        owner = self._gateway.owner(service)
        reply = await self._gateway.send_update(owner, slots.full_update())
        if isinstance(reply, result.Success):
            former, slots.broker = slots.broker, owner
            self._gateway.static_brokers.drop(service)
            if former not in {None, owner}:
                self._gateway.send_farewell(former, slots.farewell_update())
        await self._apply_reply(service, slots, reply)

    async def _apply_reply(
        self,
        service: str,
        slots: service_slots.ServiceSlots,
        reply: broker_gateway.BrokerReply,
    ) -> None:
        """Apply the broker's reply; without one, use the static share."""
        if isinstance(reply, result.Failure):
            slots.broker = None
            static_brokers = self._gateway.static_brokers
            slots.apply_news(await static_brokers.update(slots.full_update()))
        else:
            slots.apply_news(reply.unwrap())
