"""Moves idle machines to the services that have work for them.

Machines of a standby service are switched off and cost nothing, unlike idle
machines of other services.  Only machines without runs are moved, so that no
task is ended by a move.
"""

import asyncio
import collections
import functools
import itertools
from collections.abc import Awaitable, Callable, Iterable, Iterator, Mapping

from jackdawlatch.scheduler import (
    cluster_state,
    demand,
    fleet,
    forecast,
    lateness,
    machine_moves,
    round_times,
    tasks,
    workers,
)

PERIOD_S = 0.2
# The last requests of the previous leader are answered by then: it sends none
# once it no longer trusts its lease.
HANDOVER_S = 1.0
# Idling longer than this costs more than two moves of the machine.
STANDBY_IDLE_S = 2.5
# Shorter, since another service waits for the machine.
TRANSFER_IDLE_S = 0.4
MIN_MACHINES = 2

Move = Callable[[], Awaitable[bool]]


class Pools:
    """Assigns machines to services.

    The platform accepts at most ``moves_per_s`` moves a second.
    """

    def __init__(
        self,
        cluster: cluster_state.ClusterState,
        job_lateness: lateness.Lateness,
        mover: machine_moves.MachineMover,
        leading: Callable[[], bool],
        moves_per_s: float,
    ) -> None:
        self._cluster = cluster
        self._lateness = job_lateness
        self._mover = mover
        self._leading = leading
        self._moves_per_s = moves_per_s
        # Services with surplus machines, while others have too few.
        self.donors: frozenset[str] = frozenset()
        self._fleet = fleet.Fleet(cluster)
        self._peak = forecast.PeakDemand()

    def undersupplied(self) -> frozenset[str]:
        """Return the services that have fewer machines than they could use."""
        return frozenset(
            service
            for service, number in self._surplus(
                self._demand_by_service()
            ).items()
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
        """Start all moves that are due, and wait for their answers."""
        self._fleet.record_idle()
        demand_by_service = self._demand_by_service()
        surplus = self._surplus(demand_by_service)
        self.donors = _donors(surplus)
        if min(surplus.values(), default=0) < 0:
            await self._mover.refresh_standby()
        if self._demand_seen():
            self._peak.record(
                self._cluster.now_s, sum(demand_by_service.values())
            )
        moves = itertools.chain(
            self._supply_moves(surplus), self._standby_moves(surplus)
        )
        max_moves = max(1, int(self._moves_per_s * PERIOD_S))
        chosen = tuple(itertools.islice(moves, max_moves))
        await asyncio.gather(*(move() for move in chosen))

    def _supply_moves(
        self, surplus: collections.Counter[str]
    ) -> Iterator[Move]:
        """Yield moves to the services with too few machines."""
        idle = self._fleet.idle_for(TRANSFER_IDLE_S)
        for service, number in reversed(surplus.most_common()):
            if number < 0:
                yield from self._transfer_idle(idle, service, surplus)
                yield from self._switch_on(service, surplus)

    def _transfer_idle(
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

    def _standby_moves(
        self, surplus: collections.Counter[str]
    ) -> Iterator[Move]:
        """Yield moves to standby of machines beyond the forecast demand."""
        standby = min(self._cluster.catalog.standby_services(), default='')
        if not standby or not self._peak.covers_window:
            return
        spare = len(self._fleet.usable()) - self._peak.machines()
        for worker in self._fleet.idle_for(STANDBY_IDLE_S):
            if spare > 0 and surplus[worker.entry.service] > 0:
                spare -= 1
                surplus[worker.entry.service] -= 1
                yield functools.partial(
                    self._mover.move_worker, worker, standby
                )

    def _demand_seen(self) -> bool:
        """Whether a job with tasks that end was seen.

        Until then, idle machines are no sign of low demand.
        """
        return any(
            not step.lasting
            for job in self._cluster.jobs_by_id.values()
            for step in job.job.steps
        )

    def _surplus(
        self, demand_by_service: Mapping[str, int]
    ) -> collections.Counter[str]:
        """Return how many machines each service has beyond its demand."""
        found = self._fleet.usable()
        machines = {worker.entry.machine for worker in found}
        surplus = collections.Counter(worker.entry.service for worker in found)
        for machine, service in self._mover.in_transit():
            if machine not in machines:
                surplus[service] += 1
        surplus.subtract(demand_by_service)
        return surplus

    def _demand_by_service(self) -> dict[str, int]:
        """Return how many of all machines each service could use."""
        jobs_by_lateness = self._open_jobs_by_lateness()
        largest = self._fleet.largest()
        in_time, overdue = (
            demand.machines_by_service(jobs_by_lateness[is_late], largest)
            for is_late in (False, True)
        )
        machines = len(self._fleet.usable()) + self._mover.available_count()
        divided = demand.divide(in_time, overdue, machines)
        return {
            service: max(MIN_MACHINES, divided.get(service, 0))
            for service in self._cluster.catalog.serving_services()
        }

    def _open_jobs_by_lateness(self) -> dict[bool, list[tasks.JobState]]:
        jobs_by_lateness: dict[bool, list[tasks.JobState]] = {
            False: [],
            True: [],
        }
        clock = self._cluster.dependencies.clock
        now = round_times.RoundTime(clock.monotonic_s(), clock.wall_s())
        for job in self._cluster.jobs_by_id.values():
            if not job.ended:
                jobs_by_lateness[self._lateness.is_late(job, now)].append(job)
        return jobs_by_lateness


def _donors(surplus: Mapping[str, int]) -> frozenset[str]:
    if min(surplus.values(), default=0) >= 0:
        return frozenset()
    return frozenset(
        service for service, number in surplus.items() if number > 0
    )
