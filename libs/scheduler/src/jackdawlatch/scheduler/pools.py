"""Moves idle machines to the services that have work for them.

Machines of a standby service cost nothing; one that idles in any other does.
Only machines on which nothing runs are moved, so no task is ever ended.
"""

import asyncio
import dataclasses
from collections.abc import Callable

from absl import logging
from returns import result

from jackdawlatch.jobs import model
from jackdawlatch.scheduler import (
    book,
    clients,
    demand,
    ledger,
    waves,
    workers,
)

PERIOD_S = 0.2
# A machine that idles longer costs more than two moves of it.
RETURN_IDLE_S = 4.0
# A machine that another service waits for is let go sooner.
LEND_IDLE_S = 0.4
LEAST_MACHINES = 3
# How long the list of machines that are switched off is believed.
LIST_AGE_S = 4.0
REFUSED_PENALTY_S = 3.0
# A worker needs about a heartbeat to be listed after a move.
ARRIVAL_SLACK_S = 2.0


@dataclasses.dataclass(frozen=True)
class Parts:
    """What machines are moved with."""

    book: book.Book
    client: clients.MachineClient
    term: ledger.Term
    leading: Callable[[], bool]
    migration_s: float


@dataclasses.dataclass(frozen=True)
class _Arrival:
    """A machine that is on its way to a service."""

    service: str
    due_s: float


class Pools:
    """Which machine serves which service."""

    def __init__(self, parts: Parts) -> None:
        self._parts = parts
        self._arrivals_by_machine: dict[str, _Arrival] = {}
        self._barred_s_by_machine: dict[str, float] = {}
        self._idle_since_s: dict[workers.Worker, float] = {}
        self._standby: list[str] = []
        self._listed_s: float = 0

    def lacks(self, service: str) -> bool:
        """Whether a service could use more machines than it has."""
        fleet = self._fleet()
        wanted, counts = self._wanted(fleet), self._counts(fleet)
        return wanted.get(service, 0) > counts.get(service, 0)

    async def run(self) -> None:
        """Move machines until cancelled."""
        # The last orders of another leader must be over.
        await asyncio.sleep(waves.HANDOVER_S)
        while True:
            if self._parts.leading():
                await self._round()
            await asyncio.sleep(PERIOD_S)

    async def _round(self) -> None:
        now_s = self._parts.book.now_s
        self._arrivals_by_machine = {
            machine: arrival
            for machine, arrival in self._arrivals_by_machine.items()
            if arrival.due_s > now_s
        }
        fleet = self._fleet()
        idle = self._idle(fleet, now_s)
        surplus = _Surplus(self._wanted(fleet), self._counts(fleet))
        for service in surplus.lacking():
            await self._supply(service, surplus, idle, now_s)
        for worker in idle:
            rested_s = now_s - self._idle_since_s[worker]
            if rested_s > RETURN_IDLE_S and surplus.spare(worker):
                await self._return(worker, surplus)

    async def _supply(
        self,
        service: str,
        surplus: '_Surplus',
        idle: list[workers.Worker],
        now_s: float,
    ) -> None:
        for worker in tuple(idle):
            if not surplus.lacks(service):
                return
            rested_s = now_s - self._idle_since_s[worker]
            if rested_s > LEND_IDLE_S and surplus.spare(worker):
                idle.remove(worker)
                if await self._move_worker(worker, service):
                    surplus.moved(worker.entry.service, service)
        if surplus.lacks(service):
            await self._list_standby(now_s)
        while surplus.lacks(service) and self._standby:
            if await self._move(self._standby.pop(), service):
                surplus.moved('', service)

    async def _return(
        self, worker: workers.Worker, surplus: '_Surplus'
    ) -> None:
        for service in self._parts.book.catalog.services_by_name.values():
            if service.standby:
                if await self._move_worker(worker, service.name):
                    surplus.moved(worker.entry.service, service.name)
                return

    async def _move_worker(self, worker: workers.Worker, service: str) -> bool:
        if worker.runs_by_task:
            return False
        worker.cordoned = True
        moved = await self._move(worker.entry.machine, service)
        worker.cordoned = False
        if moved:
            worker.listed = False
            worker.reachable = False
        return moved

    async def _move(self, machine: str, service: str) -> bool:
        now_s = self._parts.book.now_s
        if self._barred_s_by_machine.get(machine, 0) > now_s:
            return False
        if not self._parts.leading():
            return False
        moved = await self._parts.client.move(
            machine, service, self._parts.term.token
        )
        outcome = 'moved'
        if isinstance(moved, result.Failure):
            outcome = moved.failure().line()
            self._barred_s_by_machine[machine] = now_s + REFUSED_PENALTY_S
        else:
            self._arrivals_by_machine[machine] = _Arrival(
                service, now_s + self._parts.migration_s + ARRIVAL_SLACK_S
            )
        self._parts.book.parts.log.note(
            'move', machine=machine, service=service, outcome=outcome
        )
        return not isinstance(moved, result.Failure)

    async def _list_standby(self, now_s: float) -> None:
        if now_s - self._listed_s < LIST_AGE_S:
            return
        listed = await self._parts.client.list_all()
        if isinstance(listed, result.Failure):
            logging.info('machines not listed: %s', listed.failure().line())
            return
        self._listed_s = now_s
        services = self._parts.book.catalog.services_by_name
        self._standby = [
            machine.id
            for machine in listed.unwrap()
            if machine.available
            and machine.service in services
            and services[machine.service].standby
            and machine.id not in self._arrivals_by_machine
        ]

    def _fleet(self) -> list[workers.Worker]:
        services = self._parts.book.catalog.services_by_name
        return [
            worker
            for worker in self._parts.book.workers_by_id.values()
            if worker.usable
            and worker.entry.machine
            and worker.entry.service in services
            and not services[worker.entry.service].standby
        ]

    def _idle(
        self, fleet: list[workers.Worker], now_s: float
    ) -> list[workers.Worker]:
        self._idle_since_s = {
            worker: self._idle_since_s.get(worker, now_s)
            for worker in fleet
            if not worker.runs_by_task
        }
        return sorted(
            self._idle_since_s, key=lambda worker: self._idle_since_s[worker]
        )

    def _wanted(self, fleet: list[workers.Worker]) -> dict[str, int]:
        largest = max(
            (worker.entry.room for worker in fleet),
            key=lambda room: room.processors_m,
            default=model.Room(),
        )
        wanted = demand.machines_by_service(
            self._parts.book.jobs_by_id.values(), largest
        )
        return {
            service.name: max(LEAST_MACHINES, wanted.get(service.name, 0))
            for service in self._parts.book.catalog.services_by_name.values()
            if not service.standby
        }

    def _counts(self, fleet: list[workers.Worker]) -> dict[str, int]:
        counts: dict[str, int] = {}
        present = {worker.entry.machine for worker in fleet}
        arriving = [
            arrival.service
            for machine, arrival in self._arrivals_by_machine.items()
            if machine not in present
        ]
        for service in (*(one.entry.service for one in fleet), *arriving):
            counts[service] = counts.get(service, 0) + 1
        return counts


class _Surplus:
    """How many machines each service has over what it wants."""

    def __init__(self, wanted: dict[str, int], counts: dict[str, int]) -> None:
        self._surplus_by_service = {
            service: counts.get(service, 0) - number
            for service, number in wanted.items()
        }

    def lacking(self) -> list[str]:
        """Return the services that lack machines, the neediest first."""
        found = [name for name in self._surplus_by_service if self.lacks(name)]
        return sorted(found, key=lambda name: self._surplus_by_service[name])

    def lacks(self, service: str) -> bool:
        """Whether a service could use another machine."""
        return self._surplus_by_service.get(service, 0) < 0

    def spare(self, worker: workers.Worker) -> bool:
        """Whether a worker's service has a machine too many."""
        return self._surplus_by_service.get(worker.entry.service, 0) > 0

    def moved(self, source: str, destination: str) -> None:
        """Count a move."""
        for service, change in ((source, -1), (destination, 1)):
            if service in self._surplus_by_service:
                self._surplus_by_service[service] += change
