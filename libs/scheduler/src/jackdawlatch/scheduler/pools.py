"""Moves idle machines to the services that have work for them.

Machines of a standby service cost nothing; one that idles in any other does.
Only machines on which nothing runs are moved, so no task is ever ended.
"""

import asyncio
import collections
from collections.abc import Callable

from jackdawlatch.jobs import model
from jackdawlatch.scheduler import book, demand, forecast, mover, workers

PERIOD_S = 0.2
# The last orders of another leader are answered by then; it gives no more
# once its lease is no longer trusted.
HANDOVER_S = 1.0
# A machine that idles longer costs more than two moves of it.
RETURN_IDLE_S = 2.5
# A machine that another service waits for is let go sooner.
LEND_IDLE_S = 0.4
LEAST_MACHINES = 2


class Pools:
    """Which machine serves which service."""

    def __init__(
        self,
        own: book.Book,
        own_mover: mover.Mover,
        leading: Callable[[], bool],
    ) -> None:
        self._book = own
        self._mover = own_mover
        self._leading = leading
        self._idle_since_s: dict[workers.Worker, float] = {}
        self._peak = forecast.PeakDemand()

    def lacking(self) -> frozenset[str]:
        """Return the services that could use more machines than they have."""
        return frozenset(
            service for service, number in self._surplus().items() if number < 0
        )

    async def run(self) -> None:
        """Move machines until cancelled."""
        await asyncio.sleep(HANDOVER_S)
        while True:
            if self._leading():
                await self.round()
            await asyncio.sleep(PERIOD_S)

    async def round(self) -> None:
        """Move what has to move now."""
        self._note_idle()
        surplus = self._surplus()
        for service, number in reversed(surplus.most_common()):
            if number < 0:
                await self._supply(service, surplus)
        if self._demand_seen():
            self._peak.note(self._book.now_s, sum(self._wanted().values()))
        if self._peak.known:
            await self._shrink(surplus)

    async def _shrink(self, surplus: collections.Counter[str]) -> None:
        """Switch off what not even the forecast demand would use."""
        spare = len(self._fleet()) - self._peak.machines()
        for worker in self._idle_for(RETURN_IDLE_S):
            if spare > 0 and surplus[worker.entry.service] > 0:
                spare -= 1
                await self._return(worker, surplus)

    async def _supply(
        self, service: str, surplus: collections.Counter[str]
    ) -> None:
        for worker in self._idle_for(LEND_IDLE_S):
            source = worker.entry.service
            if surplus[service] >= 0:
                return
            if surplus[source] > 0:
                if await self._mover.move_worker(worker, service):
                    surplus[source] -= 1
                    surplus[service] += 1
        while surplus[service] < 0:
            if not await self._mover.move_standby(service):
                return
            surplus[service] += 1

    async def _return(
        self, worker: workers.Worker, surplus: collections.Counter[str]
    ) -> None:
        for standby in self._book.catalog.standby_services():
            if await self._mover.move_worker(worker, standby):
                surplus[worker.entry.service] -= 1
                return

    def _demand_seen(self) -> bool:
        """Whether idling tells anything: not before the first short job."""
        return any(
            not step.lasting
            for job in self._book.jobs_by_id.values()
            for step in job.job.steps
        )

    def _fleet(self) -> list[workers.Worker]:
        serving = self._book.catalog.serving_services()
        return [
            worker
            for worker in self._book.workers_by_id.values()
            if worker.usable
            and worker.entry.machine
            and worker.entry.service in serving
        ]

    def _note_idle(self) -> None:
        now_s = self._book.now_s
        self._idle_since_s = {
            worker: self._idle_since_s.get(worker, now_s)
            for worker in self._fleet()
            if not worker.runs_by_task
        }

    def _idle_for(self, least_s: float) -> list[workers.Worker]:
        """Return the machines that have idled so long, the longest first."""
        latest_s = self._book.now_s - least_s
        found = [
            worker
            for worker, since_s in self._idle_since_s.items()
            if since_s < latest_s and worker.usable and not worker.runs_by_task
        ]
        return sorted(found, key=lambda worker: self._idle_since_s[worker])

    def _surplus(self) -> collections.Counter[str]:
        """Return how many machines each service has over what it wants."""
        fleet = self._fleet()
        machines = {worker.entry.machine for worker in fleet}
        surplus = collections.Counter(worker.entry.service for worker in fleet)
        for machine, service in self._mover.expected():
            if machine not in machines:
                surplus[service] += 1
        surplus.subtract(self._wanted())
        return surplus

    def _wanted(self) -> dict[str, int]:
        """Return how many machines each service could use."""
        wanted = demand.machines_by_service(
            self._book.jobs_by_id.values(), _largest(self._fleet())
        )
        return {
            service: max(LEAST_MACHINES, wanted.get(service, 0))
            for service in self._book.catalog.serving_services()
        }


def _largest(fleet: list[workers.Worker]) -> model.Room:
    return max(
        (worker.entry.room for worker in fleet),
        key=lambda room: room.processors_m,
        default=model.Room(),
    )
