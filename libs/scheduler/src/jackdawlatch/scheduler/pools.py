"""Moves idle machines to the services that have work for them.

Machines of a standby service are switched off and cost nothing, unlike idle
machines of other services.  Only machines without runs are moved, so that no
task is ended by a move.
"""

import asyncio
import collections
import dataclasses
from collections.abc import Callable, Iterable, Mapping

from jackdawlatch.policy import forecasts, transfers, withholding
from jackdawlatch.scheduler import (
    clients,
    cluster_state,
    demand,
    fleet,
    lateness,
    load_forecasts,
    machine_moves,
    persistence,
    supply,
)

PERIOD_S = 0.2
# The last requests of the previous leader are answered by then: it sends none
# once it no longer trusts its lease.
HANDOVER_S = 1.0


@dataclasses.dataclass(frozen=True)
class Limits:
    """How long a move takes, and how many the platform accepts a second."""

    migration_s: float
    moves_per_s: float


@dataclasses.dataclass(frozen=True)
class Dependencies:
    """Collaborators of the pools."""

    cluster: cluster_state.ClusterState
    job_lateness: lateness.Lateness
    client: clients.MachineClient
    term: persistence.Term
    leading: Callable[[], bool]
    limits: Limits


class Pools:
    """Assigns machines to services."""

    def __init__(self, dependencies: Dependencies) -> None:
        self._dependencies = dependencies
        self._cluster = dependencies.cluster
        self._mover = machine_moves.MachineMover(
            machine_moves.Dependencies(
                dependencies.cluster,
                dependencies.client,
                dependencies.term,
                dependencies.leading,
                dependencies.limits.migration_s,
            )
        )
        self._withholding = withholding.Withholding()
        self._fleet = fleet.Fleet(self._cluster)
        self._supply = supply.Supply(
            self._cluster, dependencies.job_lateness, self._fleet, self._mover
        )
        self._peak = forecasts.PeakDemand()
        self._wanted_by_service: Mapping[str, int] = {}

    def undersupplied(self) -> frozenset[str]:
        """Return the services that have fewer machines than they could use.

        A new leader counts all of them until it knows which tasks wait.
        """
        self._supply.update()
        if not self._supply.settled:
            return frozenset(self._cluster.catalog.serving_services())
        return frozenset(
            service
            for service, number in self._supply.surplus(
                self._supply.with_lacked(
                    self._supply.by_capacity(self._supply.open_demand())
                )
            ).items()
            if number < 0
        )

    def forecast(self) -> load_forecasts.Machines:
        """Return the machines that services will get, as of the last round."""
        return load_forecasts.Machines(
            self._wanted_by_service, self._mover.available_count()
        )

    @property
    def lacking(self) -> frozenset[str]:
        """The services with steps that wait for machines."""
        return self._supply.lacking

    async def run(self) -> None:
        """Move machines until cancelled."""
        await asyncio.sleep(HANDOVER_S)
        while True:
            if self._dependencies.leading():
                await self.round()
            await asyncio.sleep(PERIOD_S)

    async def round(self) -> None:
        """Start all moves that are due, and wait for their answers."""
        await self._mover.restore()
        self._mover.release_unmoved()
        self._fleet.record_idle()
        self._supply.update()
        open_demand = self._supply.open_demand()
        by_capacity = self._supply.by_capacity(open_demand)
        demand_by_service = self._supply.with_lacked(by_capacity)
        self._wanted_by_service = demand_by_service
        surplus = self._supply.surplus(demand_by_service)
        self._withhold(surplus, open_demand)
        if min(surplus.values(), default=0) < 0:
            await self._mover.refresh_standby()
        if self._demand_seen():
            self._peak.record(
                self._cluster.now_s, sum(demand_by_service.values())
            )
        max_moves = max(
            1, int(self._dependencies.limits.moves_per_s * PERIOD_S)
        )
        chosen = self._transfers(surplus, by_capacity)
        await self._move_all(chosen[:max_moves])

    @property
    def withheld(self) -> frozenset[str]:
        """The machines that take no late jobs now."""
        return self._withholding.machines(self._cluster.now_s)

    def _withhold(
        self, surplus: Mapping[str, int], open_demand: demand.Demand
    ) -> None:
        now_s = self._cluster.now_s
        in_time = self._supply.surplus(open_demand.in_time)
        missing = sum(
            max(0, -in_time[service]) for service in open_demand.ready_in_time
        )
        before = self._withholding.machines(now_s)
        self._withholding.replace(
            transfers.vacate(self._fleet.pool_machines(), surplus, missing),
            now_s,
        )
        withheld = self._withholding.machines(now_s)
        if bool(withheld) != bool(before):
            self._cluster.dependencies.log.note(
                'withheld',
                machines=len(withheld),
                missing=missing,
                **{f'surplus_{name}': surplus[name] for name in surplus},
            )

    def _transfers(
        self,
        surplus: collections.Counter[str],
        by_capacity: Mapping[str, int],
    ) -> list[transfers.Transfer]:
        machines = transfers.Fleet(
            self._fleet.idle(),
            self._mover.standby,
            surplus,
            self._supply.lacked_machines(surplus, by_capacity),
        )
        chosen = transfers.supply(machines)
        standby = min(self._cluster.catalog.standby_services(), default='')
        if chosen or not standby or not self._peak.covers_window:
            return chosen
        spare = len(self._fleet.usable()) - self._peak.machines()
        return transfers.retire(machines, spare, standby)

    async def _move_all(self, chosen: Iterable[transfers.Transfer]) -> None:
        by_machine = {
            worker.entry.machine: worker for worker in self._fleet.usable()
        }
        await asyncio.gather(
            *(
                self._mover.move_worker(
                    by_machine[transfer.machine], transfer.service
                )
                if transfer.machine in by_machine
                else self._mover.switch_on(transfer.machine, transfer.service)
                for transfer in chosen
            )
        )

    def _demand_seen(self) -> bool:
        """Whether a job with tasks that end was seen.

        Until then, idle machines are no sign of low demand.
        """
        return any(not job.lasting for job in self._cluster.jobs_by_id.values())
