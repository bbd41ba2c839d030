"""Serves the slot brokers of the services that this entry owns."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Coroutine, Mapping, Sequence
from typing import Any

from returns import result

from jackdawlatch.admission import broker, tickets
from jackdawlatch.entry import outcomes, slot_messages, surroundings
from jackdawlatch.model import records

TICK_S = 0.05
SILENCE_S: float = 3

Push = Callable[[str, slot_messages.News], Coroutine[Any, Any, None]]
Collect = Callable[[str], Awaitable[Sequence[slot_messages.Update]]]
SlotsOf = Callable[[str], Mapping[str, int]]


class Served:
    """The broker of one service and the entries that use it.

    It gives out nothing until it is ``warm``: until it has asked what slots
    the entries hold already.
    """

    def __init__(self, allocator: broker.Broker) -> None:
        self.warm = False
        self.broker = allocator
        self.addresses_by_entry: dict[str, str] = {}
        self.heard_s_by_entry: dict[str, float] = {}

    def take(
        self, update: slot_messages.Update, now_s: float
    ) -> dict[str, outcomes.Told]:
        """Take in what an entry tells; return the tickets refused."""
        self.addresses_by_entry[update.entry] = update.address
        self.heard_s_by_entry[update.entry] = now_s
        if update.whole:
            self.hold(update, now_s)
            self._drop_unwanted(update, now_s)
        for release in update.releases:
            self.broker.release(release.ticket, release.outcome, now_s)
        for cancelled in update.cancels:
            self.broker.cancel(cancelled, now_s)
        refused: dict[str, outcomes.Told] = {}
        for asked in update.asks:
            ticket = _on_clock(asked, now_s)
            answer = self.broker.ask(ticket, now_s)
            if isinstance(answer, result.Failure):
                refused[ticket.id] = outcomes.tell(answer)
        if update.farewell:
            self.heard_s_by_entry.pop(update.entry)
            self.addresses_by_entry.pop(update.entry)
        return refused

    def drop_silent(self, now_s: float) -> None:
        """Forget the entries that were not heard of for a while."""
        for entry, heard_s in tuple(self.heard_s_by_entry.items()):
            if heard_s + SILENCE_S <= now_s:
                self.heard_s_by_entry.pop(entry)
                self.addresses_by_entry.pop(entry)
                self.broker.drop_entry(entry, now_s)

    def hold(self, update: slot_messages.Update, now_s: float) -> None:
        """Take in which slots an entry holds."""
        self.broker.resync(
            update.entry,
            [
                tickets.Grant(
                    ticket=report.ticket,
                    host=report.host,
                    granted_s=now_s - report.age_s,
                )
                for report in update.reports
            ],
            now_s,
        )

    def _drop_unwanted(
        self, update: slot_messages.Update, now_s: float
    ) -> None:
        wanted = {ticket.id for ticket in update.asks}
        for ticket in tuple(self.broker.policy.lines):
            if ticket.entry == update.entry and ticket.id not in wanted:
                self.broker.cancel(ticket.id, now_s)


class Brokers:
    """The brokers of this process, made when first asked for.

    ``slots_of`` gives the slots by host that a service's broker may grant;
    ``collect`` asks all entries what they hold of a service; ``push`` sends
    news to an entry at an address.
    """

    def __init__(
        self,
        around: surroundings.Surroundings,
        slots_of: SlotsOf,
        collect: Collect,
        push: Push,
    ) -> None:
        self._fleet = around.fleet
        self._signs = around.signs
        self._clock = around.clock
        self._slots_of = slots_of
        self._collect = collect
        self._push = push
        self._served_by_service: dict[str, Served] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def serves(self, service: str) -> bool:
        """Say whether some entry uses this process's broker of a service."""
        return service in self._served_by_service

    def services(self) -> list[str]:
        """Return the services that this process serves a broker of."""
        return sorted(self._served_by_service)

    async def update(self, update: slot_messages.Update) -> slot_messages.News:
        """Serve what an entry tells; the reply is its own news."""
        now_s = self._clock.monotonic_s()
        if update.farewell and not self.serves(update.service):
            return slot_messages.News(service=update.service)
        served = self._served(update.service)
        refused = served.take(update, now_s)
        news = _turn(update.service, served, now_s)
        own = news.pop(update.entry, slot_messages.News(service=update.service))
        self._send(served, news)
        return records.replace(own, refused=refused)

    async def run(self) -> None:
        """Expire tickets and forget lost entries until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            self.tick()

    def tick(self) -> None:
        """Do what is due by time alone."""
        now_s = self._clock.monotonic_s()
        for service, served in tuple(self._served_by_service.items()):
            served.drop_silent(now_s)
            served.broker.replace_runners(self._slots_of(service))
            self._send(served, _turn(service, served, now_s))
            if not served.heard_s_by_entry:
                self._served_by_service.pop(service)

    def refresh(self) -> None:
        """Apply the preset in force, and the runners as they are now."""
        for service, served in self._served_by_service.items():
            if served.broker.policy.preset != self._fleet.preset:
                served.broker.set_preset(self._fleet.preset)
            served.broker.replace_runners(self._slots_of(service))

    def forget(self, service: str) -> None:
        """Drop the broker of a service."""
        self._served_by_service.pop(service, None)

    def _served(self, service: str) -> Served:
        served = self._served_by_service.get(service)
        if served is None:
            allocator = broker.Broker(
                self._fleet.preset, random.Random(), self._signs
            )
            served = Served(allocator)
            allocator.replace_runners(self._slots_of(service))
            self._served_by_service[service] = served
            self._spawn(self._warm_up(service, served))
        return served

    async def _warm_up(self, service: str, served: Served) -> None:
        held = await self._collect(service)
        now_s = self._clock.monotonic_s()
        for update in held:
            served.hold(update, now_s)
        served.warm = True
        self._send(served, _turn(service, served, now_s))

    def _send(
        self, served: Served, news_by_entry: Mapping[str, slot_messages.News]
    ) -> None:
        for entry, news in news_by_entry.items():
            address = served.addresses_by_entry.get(entry)
            if address is None:
                continue
            self._spawn(self._push(address, news))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _turn(
    service: str, served: Served, now_s: float
) -> dict[str, slot_messages.News]:
    if not served.warm:
        return {}
    return _news(service, served.broker.turn(now_s))


def _news(service: str, turn: broker.Turn) -> dict[str, slot_messages.News]:
    """Return what each entry is to be told."""
    given: dict[str, list[slot_messages.Given]] = {}
    dropped: dict[str, list[str]] = {}
    for grant in turn.grants:
        given.setdefault(grant.ticket.entry, []).append(
            slot_messages.Given(ticket=grant.ticket.id, host=grant.host)
        )
    for ticket in turn.dropped:
        dropped.setdefault(ticket.entry, []).append(ticket.id)
    return {
        entry: slot_messages.News(
            service=service,
            given=tuple(given.get(entry, ())),
            dropped=tuple(dropped.get(entry, ())),
        )
        for entry in (*given, *dropped)
    }


def _on_clock(ticket: tickets.Ticket, now_s: float) -> tickets.Ticket:
    return records.replace(ticket, deadline_s=now_s + ticket.deadline_s)
