"""Serves the slot brokers of services at this entry."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Coroutine, Mapping, Sequence
from typing import Any

from jackdawlatch.admission import broker
from jackdawlatch.entry import (
    served_services,
    shared_dependencies,
    slot_messages,
)
from jackdawlatch.model import records

TICK_INTERVAL_S = 0.05

Push = Callable[[str, slot_messages.News], Coroutine[Any, Any, None]]
Collect = Callable[[str], Awaitable[Sequence[slot_messages.Update]]]
SlotsOfService = Callable[[str], Mapping[str, int]]


class Brokers:
    """The brokers of this process, created on first use.

    ``slots_of`` returns the slots by host that a service's broker may grant;
    ``collect`` requests the slots of a service that all entries hold;
    ``push`` sends news to the entry at an address.
    """

    def __init__(
        self,
        dependencies: shared_dependencies.Dependencies,
        slots_of: SlotsOfService,
        collect: Collect,
        push: Push,
    ) -> None:
        self._fleet = dependencies.fleet
        self._leaving_hosts = dependencies.leaving_hosts
        self._clock = dependencies.clock
        self._slots_of = slots_of
        self._collect = collect
        self._push = push
        self._served_by_service: dict[str, served_services.ServedService] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def serves(self, service: str) -> bool:
        """Return whether a broker of the service exists at this process."""
        return service in self._served_by_service

    def services(self) -> list[str]:
        """Return the names of the services with a broker here, sorted."""
        return sorted(self._served_by_service)

    async def update(self, update: slot_messages.Update) -> slot_messages.News:
        """Apply an entry's update and return the news for that entry.

        News for other entries are pushed to them.
        """
        now_s = self._clock.monotonic_s()
        if update.farewell and not self.serves(update.service):
            return slot_messages.News(service=update.service)
        served = self._served_service(update.service)
        refused = served.apply(update, now_s)
        news = _allocate(update.service, served, now_s)
        reply = news.pop(
            update.entry, slot_messages.News(service=update.service)
        )
        self._send(served, news)
        return records.replace(reply, refused=refused)

    async def run(self) -> None:
        """Expire tickets and drop silent entries until cancelled."""
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            self.tick()

    def tick(self) -> None:
        """Expire tickets, and drop silent entries and unused brokers."""
        now_s = self._clock.monotonic_s()
        for service, served in tuple(self._served_by_service.items()):
            served.drop_silent_entries(now_s)
            served.broker.replace_runners(self._slots_of(service))
            self._send(served, _allocate(service, served, now_s))
            if not served.last_update_s_by_entry:
                self._served_by_service.pop(service)

    def refresh(self) -> None:
        """Apply the preset in force and the current runners."""
        for service, served in self._served_by_service.items():
            if served.broker.policy.preset != self._fleet.preset:
                served.broker.set_preset(self._fleet.preset)
            served.broker.replace_runners(self._slots_of(service))

    def drop(self, service: str) -> None:
        """Drop the broker of a service."""
        self._served_by_service.pop(service, None)

    def _served_service(self, service: str) -> served_services.ServedService:
        served = self._served_by_service.get(service)
        if served is None:
            slot_broker = broker.Broker(
                self._fleet.preset, random.Random(), self._leaving_hosts
            )
            served = served_services.ServedService(slot_broker)
            slot_broker.replace_runners(self._slots_of(service))
            self._served_by_service[service] = served
            self._spawn(self._warm_up(service, served))
        return served

    async def _warm_up(
        self, service: str, served: served_services.ServedService
    ) -> None:
        updates = await self._collect(service)
        now_s = self._clock.monotonic_s()
        for update in updates:
            served.resync(update, now_s)
        served.warm = True
        self._send(served, _allocate(service, served, now_s))

    def _send(
        self,
        served: served_services.ServedService,
        news_by_entry: Mapping[str, slot_messages.News],
    ) -> None:
        for entry, news in news_by_entry.items():
            address = served.addresses_by_entry.get(entry)
            if address is None:
                continue
            self._spawn(self._push(address, news))

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _allocate(
    service: str, served: served_services.ServedService, now_s: float
) -> dict[str, slot_messages.News]:
    if not served.warm:
        return {}
    return _news_by_entry(service, served.broker.allocate(now_s))


def _news_by_entry(
    service: str, allocation: broker.Allocation
) -> dict[str, slot_messages.News]:
    """Return the news of a broker's allocation, by entry."""
    given: dict[str, list[slot_messages.Given]] = {}
    dropped: dict[str, list[str]] = {}
    for grant in allocation.grants:
        given.setdefault(grant.ticket.entry, []).append(
            slot_messages.Given(ticket=grant.ticket.id, host=grant.host)
        )
    for ticket in allocation.dropped:
        dropped.setdefault(ticket.entry, []).append(ticket.id)
    return {
        entry: slot_messages.News(
            service=service,
            given=tuple(given.get(entry, ())),
            dropped=tuple(dropped.get(entry, ())),
        )
        for entry in (*given, *dropped)
    }
