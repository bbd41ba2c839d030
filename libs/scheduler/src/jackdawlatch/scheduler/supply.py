"""How many machines each service has, and how many it could use."""

import collections
from collections.abc import Mapping

from jackdawlatch.policy import division, transfers
from jackdawlatch.scheduler import (
    cluster_state,
    demand,
    fleet,
    known_needs,
    lateness,
    machine_moves,
    round_times,
    shortages,
    workers,
)

MIN_MACHINES = 2


class Supply:
    """Compares the machines of each service with the demand of its jobs."""

    def __init__(
        self,
        cluster: cluster_state.ClusterState,
        job_lateness: lateness.Lateness,
        usable_fleet: fleet.Fleet,
        mover: machine_moves.MachineMover,
    ) -> None:
        self._cluster = cluster
        self._job_lateness = job_lateness
        self._fleet = usable_fleet
        self._mover = mover
        self._shortages = shortages.Shortages()
        self._known_needs = known_needs.KnownNeeds()
        self._missing_by_service: Mapping[str, list[shortages.Needs]] = {}
        self._first_update_s: float | None = None

    def update(self) -> None:
        """Find the steps that wait for machines; called once a round."""
        if self._first_update_s is None:
            self._first_update_s = self._cluster.now_s
        wall_s = self._cluster.dependencies.clock.wall_s()
        self._missing_by_service = self._shortages.update(
            [
                (job.service, state)
                for job in self._cluster.jobs_by_id.values()
                if not job.ended and any(map(shortages.is_bound, job.job.steps))
                for state in job.ready_steps(wall_s)
            ],
            shortages.Machines(
                self._usable_by_service(),
                self._fleet.largest(),
            ),
            self._cluster.now_s,
        )

    @property
    def settled(self) -> bool:
        """Whether a step that waits for machines would be known by now."""
        if self._first_update_s is None:
            return False
        updated_s = self._cluster.now_s - self._first_update_s
        return updated_s > shortages.MIN_WAIT_S

    @property
    def lacking(self) -> frozenset[str]:
        """The services with steps that wait for machines."""
        return frozenset(self._missing_by_service)

    def open_demand(self) -> demand.Demand:
        """Return how many machines the jobs of each service would fill."""
        clock = self._cluster.dependencies.clock
        return demand.by_lateness(
            self._cluster.jobs_by_id.values(),
            round_times.RoundTime(clock.monotonic_s(), clock.wall_s()),
            self._job_lateness,
            self._fleet.largest(),
            self._known_needs,
        )

    def by_capacity(self, open_demand: demand.Demand) -> dict[str, int]:
        """Return how many of all machines each service could use.

        Those that waiting steps lack are left out.
        """
        known = len(self._fleet.usable()) + self._mover.available_count()
        divided = division.divide(open_demand.in_time, open_demand.late, known)
        kept = self._kept_for_spread()
        return {
            service: max(
                MIN_MACHINES, divided.get(service, 0), kept.get(service, 0)
            )
            for service in self._cluster.catalog.serving_services()
        }

    def with_lacked(self, by_capacity: Mapping[str, int]) -> dict[str, int]:
        """Return how many machines each service could use or lacks."""
        usable = self._usable_by_service()
        lacked = {
            service: len(usable.get(service, ())) + len(missing)
            for service, missing in self._missing_by_service.items()
        }
        return {
            service: max(number, lacked.get(service, 0))
            for service, number in by_capacity.items()
        }

    def lacked_machines(
        self,
        surplus: Mapping[str, int],
        by_capacity: Mapping[str, int],
    ) -> dict[str, transfers.Lacked]:
        """Return which machines would help the steps that wait for some.

        ``surplus`` counts what these steps lack as demand.
        """
        if not self._missing_by_service:
            return {}
        movable = [machine.id for machine in self._fleet.idle()]
        movable += self._mover.standby
        capacity_surplus = self.surplus(by_capacity)
        return {
            service: transfers.Lacked(
                [self._fleet.helpful(movable, needs) for needs in missing],
                max(0, min(0, capacity_surplus[service]) - surplus[service]),
            )
            for service, missing in self._missing_by_service.items()
            if service in surplus
        }

    def surplus(
        self, demand_by_service: Mapping[str, int]
    ) -> collections.Counter[str]:
        """Return how many machines each service has beyond its demand."""
        surplus = self._present()
        surplus.subtract(demand_by_service)
        return surplus

    def _kept_for_spread(self) -> dict[str, int]:
        """Return how many machines each service keeps for spread steps.

        They are not requested before a task waits: one that is down for
        maintenance comes back.
        """
        present = self._present()
        return {
            service: min(needed, present[service])
            for service, needed in demand.spread_by_service(
                self._cluster.jobs_by_id.values()
            ).items()
        }

    def _present(self) -> collections.Counter[str]:
        """Return the machines of each service, those in transit included."""
        present = collections.Counter(
            worker.entry.service for worker in self._fleet.usable()
        )
        present.update(service for _, service in self._mover.in_transit())
        return present

    def _usable_by_service(self) -> dict[str, list[workers.Worker]]:
        usable: dict[str, list[workers.Worker]] = collections.defaultdict(list)
        for worker in self._fleet.usable():
            usable[worker.entry.service].append(worker)
        return usable
