"""Moves idle machines to the services that have work for them.

Machines of a standby service cost nothing; one that idles in any other does.
Only machines on which nothing runs are moved, so no task is ever ended.
"""

import asyncio
import collections
import functools
import itertools
from collections.abc import Awaitable, Callable, Iterable, Iterator, Mapping

from jackdawlatch.scheduler import (
    book,
    demand,
    fleet,
    forecast,
    job_order,
    mover,
    tasks,
    workers,
)

PERIOD_S = 0.2
# The last orders of another leader are answered by then; it gives no more
# once its lease is no longer trusted.
HANDOVER_S = 1.0
# A machine that idles longer costs more than two moves of it.
RETURN_IDLE_S = 2.5
# A machine that another service waits for is let go sooner.
LEND_IDLE_S = 0.4
LEAST_MACHINES = 2

Move = Callable[[], Awaitable[bool]]


class Pools:
    """Which machine serves which service.

    The platform takes at most ``moves_per_s`` orders about machines.
    """

    def __init__(
        self,
        own: book.Book,
        own_mover: mover.Mover,
        leading: Callable[[], bool],
        moves_per_s: float,
    ) -> None:
        self._book = own
        self._mover = own_mover
        self._leading = leading
        self._moves_per_s = moves_per_s
        # Services whose machines others need more urgently.
        self.lending: frozenset[str] = frozenset()
        self._fleet = fleet.Fleet(own)
        self._peak = forecast.PeakDemand()

    def lacking(self) -> frozenset[str]:
        """Return the services that could use more machines than they have."""
        return frozenset(
            service
            for service, number in self._surplus(self._wanted()).items()
            if number < 0
        )

    async def run(self) -> None:
        """Move machines until cancelled."""
        await asyncio.sleep(HANDOVER_S)
        while True:
            if self._leading():
                await self.round()
            await asyncio.sleep(PERIOD_S)

    async def round(self) -> None:
        """Move what has to move now, all machines at once."""
        self._fleet.note_idle()
        wanted = self._wanted()
        surplus = self._surplus(wanted)
        self.lending = _lending(surplus)
        if min(surplus.values(), default=0) < 0:
            await self._mover.refresh_standby()
        if self._demand_seen():
            self._peak.note(self._book.now_s, sum(wanted.values()))
        moves = itertools.chain(self._supplies(surplus), self._returns(surplus))
        most = max(1, int(self._moves_per_s * PERIOD_S))
        chosen = tuple(itertools.islice(moves, most))
        await asyncio.gather(*(move() for move in chosen))

    def _supplies(self, surplus: collections.Counter[str]) -> Iterator[Move]:
        """Yield moves to the services that lack machines."""
        idle = self._fleet.idle_for(LEND_IDLE_S)
        for service, number in reversed(surplus.most_common()):
            if number < 0:
                yield from self._lend(idle, service, surplus)
                yield from self._switch_on(service, surplus)

    def _lend(
        self,
        idle: Iterable[workers.Worker],
        service: str,
        surplus: collections.Counter[str],
    ) -> Iterator[Move]:
        for worker in idle:
            source = worker.entry.service
            if surplus[service] < 0 < surplus[source]:
                surplus[source] -= 1
                surplus[service] += 1
                yield functools.partial(
                    self._mover.move_worker, worker, service
                )

    def _switch_on(
        self, service: str, surplus: collections.Counter[str]
    ) -> Iterator[Move]:
        while surplus[service] < 0:
            machine = self._mover.take_standby()
            if not machine:
                return
            surplus[service] += 1
            yield functools.partial(self._mover.move, machine, service)

    def _returns(self, surplus: collections.Counter[str]) -> Iterator[Move]:
        """Yield moves that switch off what no forecast demand would use."""
        standby = min(self._book.catalog.standby_services(), default='')
        if not standby or not self._peak.known:
            return
        spare = len(self._fleet.usable()) - self._peak.machines()
        for worker in self._fleet.idle_for(RETURN_IDLE_S):
            if spare > 0 and surplus[worker.entry.service] > 0:
                spare -= 1
                surplus[worker.entry.service] -= 1
                yield functools.partial(
                    self._mover.move_worker, worker, standby
                )

    def _demand_seen(self) -> bool:
        """Whether idling tells anything: not before the first short job."""
        return any(
            not step.lasting
            for job in self._book.jobs_by_id.values()
            for step in job.job.steps
        )

    def _surplus(self, wanted: Mapping[str, int]) -> collections.Counter[str]:
        """Return how many machines each service has over what it wants."""
        found = self._fleet.usable()
        machines = {worker.entry.machine for worker in found}
        surplus = collections.Counter(worker.entry.service for worker in found)
        for machine, service in self._mover.expected():
            if machine not in machines:
                surplus[service] += 1
        surplus.subtract(wanted)
        return surplus

    def _wanted(self) -> dict[str, int]:
        """Return how many machines each service could use."""
        jobs_by_lateness: dict[bool, list[tasks.JobState]] = {
            False: [],
            True: [],
        }
        wall_s = self._book.parts.clock.wall_s()
        for job in self._book.jobs_by_id.values():
            if not job.ended:
                jobs_by_lateness[job_order.is_late(job, wall_s)].append(job)
        largest = self._fleet.largest()
        in_time, overdue = (
            demand.machines_by_service(jobs_by_lateness[is_late], largest)
            for is_late in (False, True)
        )
        machines = len(self._fleet.usable()) + self._mover.available()
        divided = demand.divide(in_time, overdue, machines)
        return {
            service: max(LEAST_MACHINES, divided.get(service, 0))
            for service in self._book.catalog.serving_services()
        }


def _lending(surplus: Mapping[str, int]) -> frozenset[str]:
    if min(surplus.values(), default=0) >= 0:
        return frozenset()
    return frozenset(
        service for service, number in surplus.items() if number > 0
    )
