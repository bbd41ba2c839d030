"""Usable and idle workers of the services that are not on standby."""

from collections.abc import Collection, Iterable

from jackdawlatch.jobs import model
from jackdawlatch.policy import transfers
from jackdawlatch.scheduler import cluster_state, demand, workers


class Fleet:
    """The usable workers of all services except standby ones."""

    def __init__(self, cluster: cluster_state.ClusterState) -> None:
        self._cluster = cluster
        self._idle_since_s: dict[workers.Worker, float] = {}
        # Room stays with a machine, also while it is on standby.
        self._rooms_by_machine: dict[str, model.Room] = {}

    def usable(self) -> list[workers.Worker]:
        """Return the workers that may be given tasks."""
        return [worker for worker in self._known() if worker.usable]

    def largest(self) -> model.Room:
        """Return the capacity of the machine with the most processors.

        It counts also while its worker may not be given tasks.
        """
        return max(
            (worker.entry.room for worker in self._known()),
            key=lambda room: room.processors_m,
            default=model.Room(),
        )

    def record_idle(self) -> None:
        """Record since when each worker has been idle, and its room."""
        self._rooms_by_machine.update(
            (worker.entry.machine, worker.entry.room)
            for worker in self._known()
        )
        now_s = self._cluster.now_s
        self._idle_since_s = {
            worker: self._idle_since_s.get(worker, now_s)
            for worker in self.usable()
            if not worker.runs_by_task
        }

    def pool_machines(self) -> list[transfers.PoolMachine]:
        """Return the machines of all usable workers, idle ones included."""
        return [
            transfers.PoolMachine(
                worker.entry.machine,
                worker.entry.service,
                used_share=_used_share(worker),
                lasting_count=workers.lasting_count(worker),
            )
            for worker in self.usable()
        ]

    def idle(self) -> list[transfers.IdleMachine]:
        """Return the machines of idle workers, the longest idle first."""
        now_s = self._cluster.now_s
        ordered = sorted(self._idle_since_s.items(), key=lambda pair: pair[1])
        return [
            transfers.IdleMachine(
                worker.entry.machine, worker.entry.service, now_s - since_s
            )
            for worker, since_s in ordered
            if worker.usable and not worker.runs_by_task
        ]

    def helpful(
        self, machines: Iterable[str], needs: Collection[model.Room]
    ) -> frozenset[str]:
        """Return the machines that may be large enough for one of the needs.

        One that was never seen up counts as large enough.
        """
        return frozenset(
            machine
            for machine in machines
            if machine not in self._rooms_by_machine
            or any(map(self._rooms_by_machine[machine].fits, needs))
        )

    def _known(self) -> list[workers.Worker]:
        serving = self._cluster.catalog.serving_services()
        return [
            worker
            for worker in self._cluster.workers_by_id.values()
            if worker.entry.machine and worker.entry.service in serving
        ]


def _used_share(worker: workers.Worker) -> float:
    """Return the share of a worker's capacity that its runs hold."""
    room = worker.entry.room
    return demand.share(room.minus(worker.free), room)
