"""Moves machines between services, and tracks the ones in transit."""

import dataclasses
from collections.abc import Callable

from absl import logging
from returns import result

from jackdawlatch.scheduler import (
    clients,
    cluster_state,
    persistence,
    reports,
    workers,
)

# How long the list of standby machines is cached.
LIST_MAX_AGE_S = 1.5
REFUSED_PENALTY_S = 3.0
# After a move, a worker needs about one heartbeat to register.
ARRIVAL_SLACK_S = 2.0
# A move whose answer was late ends a little after its documented duration.
RETURN_SLACK_S = 0.1
# How much later a request without answer may still be carried out.
UNANSWERED_SLACK_S = 3.0
NOT_TRIED = reports.MachineFailure(message='not tried', refused=True)


@dataclasses.dataclass(frozen=True)
class Dependencies:
    """Collaborators of the machine mover."""

    cluster: cluster_state.ClusterState
    client: clients.MachineClient
    term: persistence.Term
    leading: Callable[[], bool]
    migration_s: float


@dataclasses.dataclass(frozen=True)
class _Arrival:
    """The target service of a machine in transit, and its arrival time."""

    service: str
    due_s: float


class MachineMover:
    """Moves single machines and lists the standby ones.

    ``standby`` holds the machines known to be switched off and ready to move.
    """

    def __init__(self, dependencies: Dependencies) -> None:
        self._dependencies = dependencies
        self._arrivals_by_machine: dict[str, _Arrival] = {}
        self._blocked_until_s_by_machine: dict[str, float] = {}
        self._cordoned_until_s_by_worker: dict[workers.Worker, float] = {}
        self.standby: list[str] = []
        self._standby_due_s_by_machine: dict[str, float] = {}
        self._listed_s: float = -LIST_MAX_AGE_S
        self._restored = False
        self._restore_due_s: float = 0

    async def restore(self) -> None:
        """Learn which machines earlier leaders have moved, once a term."""
        now_s = self._dependencies.cluster.now_s
        if not self._restored and self._restore_due_s <= now_s:
            self._restore_due_s = now_s + LIST_MAX_AGE_S
            await self._list_standby()

    def in_transit(self) -> list[tuple[str, str]]:
        """Return the machines in transit, each with its target service."""
        cluster = self._dependencies.cluster
        arrived = {
            worker.entry.machine
            for worker in cluster.workers_by_id.values()
            if worker.registered and worker.reachable
        }
        return [
            (machine, arrival.service)
            for machine, arrival in self._arrivals_by_machine.items()
            if arrival.due_s > cluster.now_s and machine not in arrived
        ]

    async def move_worker(self, worker: workers.Worker, service: str) -> bool:
        """Move the machine of an idle worker; return whether it was moved."""
        if worker.runs_by_task:
            return False
        worker.cordons.add(workers.Cordon.MOVE)
        failure = await self.move(worker.entry.machine, service)
        if failure is not None and not failure.refused:
            self._cordoned_until_s_by_worker[worker] = (
                self._dependencies.cluster.now_s + UNANSWERED_SLACK_S
            )
            return False
        worker.cordons.discard(workers.Cordon.MOVE)
        if failure is None:
            worker.health.moved = True
            worker.registered = False
            worker.reachable = False
        return failure is None

    def release_unmoved(self) -> None:
        """Allow tasks again on workers whose move can take effect no longer."""
        now_s = self._dependencies.cluster.now_s
        for worker, until_s in tuple(self._cordoned_until_s_by_worker.items()):
            if until_s <= now_s:
                self._cordoned_until_s_by_worker.pop(worker)
                worker.cordons.discard(workers.Cordon.MOVE)

    async def refresh_standby(self) -> None:
        """Update the standby machines; list them if none are known."""
        self._add_due_standby()
        if not self.standby:
            await self._list_standby()

    def available_count(self) -> int:
        """Return how many machines are on standby or in transit."""
        return len(self.standby) + len(self.in_transit())

    async def switch_on(self, machine: str, service: str) -> bool:
        """Move a standby machine to a service; return whether it was moved."""
        if machine not in self.standby:
            return False
        self.standby.remove(machine)
        return await self.move(machine, service) is None

    async def move(
        self, machine: str, service: str
    ) -> reports.MachineFailure | None:
        """Move a machine without runs; return why it was not moved.

        A machine whose last move failed is not tried again for a while.
        """
        now_s = self._dependencies.cluster.now_s
        if self._blocked_until_s_by_machine.get(machine, 0) > now_s:
            return NOT_TRIED
        if not self._dependencies.leading():
            return NOT_TRIED
        moved = await self._dependencies.client.move(
            machine, service, self._dependencies.term.token
        )
        failure = None
        if isinstance(moved, result.Failure):
            failure = moved.failure()
            self._blocked_until_s_by_machine[machine] = (
                now_s + REFUSED_PENALTY_S
            )
        else:
            self._record_move(machine, service, now_s)
        log = self._dependencies.cluster.dependencies.log
        log.note(
            'move',
            machine=machine,
            service=service,
            outcome=failure.line() if failure else 'moved',
        )
        return failure

    def _record_move(self, machine: str, service: str, now_s: float) -> None:
        due_s = now_s + self._dependencies.migration_s
        if service in self._dependencies.cluster.catalog.standby_services():
            self._standby_due_s_by_machine[machine] = due_s + RETURN_SLACK_S
        else:
            self._arrivals_by_machine[machine] = _Arrival(
                service, due_s + ARRIVAL_SLACK_S
            )

    def _add_due_standby(self) -> None:
        """Add the machines whose move to standby should have ended."""
        now_s = self._dependencies.cluster.now_s
        for machine, due_s in tuple(self._standby_due_s_by_machine.items()):
            if due_s <= now_s:
                self._standby_due_s_by_machine.pop(machine)
                self.standby.append(machine)

    async def _list_standby(self) -> None:
        now_s = self._dependencies.cluster.now_s
        if now_s - self._listed_s < LIST_MAX_AGE_S:
            return
        listed = await self._dependencies.client.list_all()
        if isinstance(listed, result.Failure):
            logging.info('listing machines failed: %s', listed.failure().line())
            return
        self._listed_s = now_s
        machines = listed.unwrap()
        if not self._restored:
            self._restored = True
            for moved in machines:
                if moved.moving:
                    self._record_move(moved.id, moved.service, now_s)
        in_transit = dict(self.in_transit())
        standby_services = self._dependencies.cluster.catalog.standby_services()
        self.standby = [
            machine.id
            for machine in machines
            if machine.available
            and machine.service in standby_services
            and machine.id not in in_transit
            and machine.id not in self._standby_due_s_by_machine
        ]
