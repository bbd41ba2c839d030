"""Machines move to the services that need them, and are kept for the peak."""

import contextlib

import scheduler_bench as benches
from returns import result

from jackdawlatch.jobs import model, queues
from jackdawlatch.model import clocks, records
from jackdawlatch.policy import forecasts
from jackdawlatch.scheduler import (
    cluster_state,
    job_loader,
    lateness,
    persistence,
    pools,
    reports,
    worker_registry,
)
from jackdawlatch.testing import functions

MIGRATION_S = 1.5
MOVES_PER_S = 100
CATALOG = queues.Catalog(
    1,
    (queues.Queue('photos', 'host', '/photos/', 'photo'),),
    (
        queues.Service('photo'),
        queues.Service('desk'),
        queues.Service('spare', standby=True),
    ),
)


class Machines(benches.FakeMachines):
    """Records moves; the list of machines is empty."""

    def __init__(self) -> None:
        super().__init__(lambda _: None)
        self.moves: list[tuple[str, str]] = []

    async def move(
        self, machine: str, service: str, token: int
    ) -> result.Result[None, reports.MachineFailure]:
        """Accept the request."""
        self.moves.append((machine, service))
        return result.Success(None)


class Bench:
    """Pools with a cluster state, on a clock that the test advances."""

    def __init__(self) -> None:
        self.clock = clocks.ManualClock(start_s=100)
        self.machines = Machines()
        self.cluster = cluster_state.ClusterState(
            cluster_state.Dependencies(
                self.clock,
                persistence.ProgressWriter(
                    benches.Bench().store, persistence.Term('a', 1)
                ),
                benches.decision_log(),
                cluster_state.Bounds(lease_s=2, stop_s=0.1),
            ),
            CATALOG,
        )
        self.pools = pools.Pools(
            pools.Dependencies(
                self.cluster,
                lateness.Lateness(),
                self.machines,
                persistence.Term('a', 1),
                lambda: True,
                pools.Limits(MIGRATION_S, MOVES_PER_S),
            )
        )

    def add_workers(self, service: str, count: int) -> None:
        """Register idle workers with capacity for four tasks each."""
        for number in range(count):
            name = f'{service}{number}'
            worker = worker_registry.WorkerRegistry(self.cluster).register(
                reports.WorkerEntry(
                    id=name,
                    born_ms=1,
                    address=name,
                    service=service,
                    zone='z',
                    machine=f'm-{name}',
                    room=model.Room(processors_m=4000, memory_mb=4000),
                )
            )
            worker.reachable = True

    def submit(self, job_id: str, count: int) -> None:
        """Accept a job for the service ``photo``."""
        job = records.replace(
            benches.job(job_id, count=count),
            accepted_s=self.clock.wall_s(),
        )
        job_loader.JobLoader(self.cluster).add(job, None, 0)

    async def rounds(self, seconds: float) -> None:
        """Run the rounds of a period."""
        for _ in range(round(seconds / pools.PERIOD_S)):
            self.clock.advance(pools.PERIOD_S)
            await self.pools.round()


@contextlib.contextmanager
def bench():
    """Yield new pools."""
    yield Bench()


async def test_first_job_does_not_cause_moves_to_standby(bench):
    bench.add_workers('photo', 4)
    bench.add_workers('desk', 8)
    await bench.rounds(9)
    bench.submit('a', count=1)
    await bench.rounds(forecasts.WINDOW_S - 1)
    assert not bench.machines.moves


async def test_idle_machines_move_to_standby_after_a_window(bench):
    bench.add_workers('photo', 4)
    bench.add_workers('desk', 8)
    bench.submit('a', count=1)
    await bench.rounds(forecasts.WINDOW_S + 1)
    moved_to = {service for _, service in bench.machines.moves}
    assert moved_to == {'spare'}
    # Both services keep their minimum of machines.
    assert len(bench.machines.moves) == 12 - 2 * pools.MIN_MACHINES


async def test_machines_of_the_last_peak_are_kept(bench):
    bench.add_workers('photo', 4)
    bench.add_workers('desk', 8)
    bench.submit('a', count=28)
    await bench.rounds(forecasts.WINDOW_S)
    bench.cluster.jobs_by_id.clear()
    bench.submit('b', count=1)
    bench.machines.moves.clear()
    await bench.rounds(forecasts.WINDOW_S - 1)
    assert not bench.machines.moves


async def test_standby_machine_moves_back_on_demand(bench):
    bench.add_workers('photo', 2)
    bench.add_workers('desk', 3)
    bench.submit('a', count=1)
    await bench.rounds(forecasts.WINDOW_S + 1)
    assert bench.machines.moves == [('m-desk0', 'spare')]
    # The platform's list does not show the standby machine yet.
    bench.submit('b', count=40)
    await bench.rounds(MIGRATION_S + 1)
    assert ('m-desk0', 'photo') in bench.machines.moves


def test_peak_expires_after_the_window():
    peak = forecasts.PeakDemand(window_s=4)
    for now_s, machines in ((0, 3), (1, 9), (2, 5), (4, 1)):
        peak.record(now_s, machines)
    assert peak.machines() == 9
    assert peak.covers_window
    peak.record(5.5, 2)
    assert peak.machines() == 5


load_tests = functions.loader(__name__, {'bench': bench})
