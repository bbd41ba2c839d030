"""Serves the slot brokers of the services that this entry owns."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Coroutine, Mapping, Sequence
from typing import Any

from jackdawlatch.admission import broker
from jackdawlatch.entry import served_services, slot_messages, surroundings
from jackdawlatch.model import records

TICK_S = 0.05

Push = Callable[[str, slot_messages.News], Coroutine[Any, Any, None]]
Collect = Callable[[str], Awaitable[Sequence[slot_messages.Update]]]
SlotsOf = Callable[[str], Mapping[str, int]]


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
        self._served_by_service: dict[str, served_services.Served] = {}
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

    def _served(self, service: str) -> served_services.Served:
        served = self._served_by_service.get(service)
        if served is None:
            allocator = broker.Broker(
                self._fleet.preset, random.Random(), self._signs
            )
            served = served_services.Served(allocator)
            allocator.replace_runners(self._slots_of(service))
            self._served_by_service[service] = served
            self._spawn(self._warm_up(service, served))
        return served

    async def _warm_up(
        self, service: str, served: served_services.Served
    ) -> None:
        held = await self._collect(service)
        now_s = self._clock.monotonic_s()
        for update in held:
            served.hold(update, now_s)
        served.warm = True
        self._send(served, _turn(service, served, now_s))

    def _send(
        self,
        served: served_services.Served,
        news_by_entry: Mapping[str, slot_messages.News],
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
    service: str, served: served_services.Served, now_s: float
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
