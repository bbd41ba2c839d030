"""Machines move to the services that need them, and are kept for the peak."""

import collections
import contextlib
import dataclasses
import math
from unittest import mock

import scheduler_bench as benches
from returns import result

from jackdawlatch.jobs import model, queues
from jackdawlatch.model import clocks, records
from jackdawlatch.policy import forecasts
from jackdawlatch.scheduler import (
    cluster_state,
    job_loader,
    job_order,
    lateness,
    persistence,
    planner,
    pools,
    reports,
    round_times,
    runs,
    supply,
    worker_registry,
    workers,
)
from jackdawlatch.testing import functions

MIGRATION_S = 1.5
MOVES_PER_S = 100
LATE_S = 60
# No request is carried out later than this.
UNANSWERED_S = 5
DAY_S = 86400
# Ready work may wait this long beside free capacity.
ALLOWED_WAIT_S = 3
CATALOG = queues.Catalog(
    1,
    (
        queues.Queue('photos', 'host', '/photos/', 'photo'),
        queues.Queue('letters', 'host', '/letters/', 'desk', slack_factor=2),
    ),
    (
        queues.Service('photo'),
        queues.Service('desk'),
        queues.Service('spare', standby=True),
    ),
)


class Machines(benches.FakeMachines):
    """Records moves; the list of machines is empty."""

    def __init__(self) -> None:
        super().__init__(lambda _: 0)
        self.moves: list[tuple[str, str]] = []
        self.refusing = False
        self.silent = False
        self.listed: tuple[reports.Machine, ...] = ()

    async def list_all(
        self,
    ) -> result.Result[tuple[reports.Machine, ...], reports.MachineFailure]:
        """Return the machines in ``listed``."""
        return result.Success(self.listed)

    async def move(
        self, machine: str, service: str, token: int
    ) -> result.Result[None, reports.MachineFailure]:
        """Accept the request, unless ``refusing`` or ``silent``."""
        if self.refusing or self.silent:
            return result.Failure(
                reports.MachineFailure(message='-', refused=self.refusing)
            )
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
        self.pools = self.new_pools()
        judged = lateness.Lateness()
        self._planner = planner.Planner(
            job_order.ObjectiveOrder(judged), judged, None
        )

    def new_pools(self) -> pools.Pools:
        """Return the pools of a leader that begins."""
        return pools.Pools(
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

    def submit_lasting(
        self, job_id: str, queue: str, count: int, max_per_worker: int = 0
    ) -> None:
        """Accept a job of lasting tasks."""
        job = records.replace(
            benches.job(
                job_id,
                count=count,
                lasting=True,
                max_per_worker=max_per_worker,
            ),
            queue=queue,
        )
        job_loader.JobLoader(self.cluster).add(job, None, 0)

    def submit_in_time(self, job_id: str, queue: str, count: int) -> None:
        """Accept a job that is in time for a whole day."""
        job = records.replace(
            benches.job(job_id, count=count, estimate_s=DAY_S), queue=queue
        )
        job_loader.JobLoader(self.cluster).add(job, None, 0)

    def start(self, job_id: str, worker: str, count: int) -> None:
        """Run waiting tasks of a job on a worker."""
        job = self.cluster.jobs_by_id[job_id]
        waiting = [task for task in job.steps[0].tasks if task.run is None]
        for task in waiting[:count]:
            self.cluster.assign(
                task,
                self.cluster.workers_by_id[worker],
                1,
                runs.RunPhase.RUNNING,
            )

    def planned(self, job_id: str) -> bool:
        """Whether a round would place a task of a job now."""
        candidates: dict[str, list[workers.Worker]] = {}
        for worker in self.cluster.workers_by_id.values():
            candidates.setdefault(worker.entry.service, []).append(worker)
        now = round_times.RoundTime(
            self.clock.monotonic_s(), self.clock.wall_s()
        )
        plan = self._planner.plan(
            self.cluster.jobs_by_id.values(),
            candidates,
            now,
            self.pools.withheld,
        )
        return any(one.task.job.job.id == job_id for one in plan.placements)

    async def wait_until_planned(self, job_id: str) -> float:
        """Return how long a job waits to be placed, about a minute at most."""
        waited_s: float = 0
        while waited_s < LATE_S and not self.planned(job_id):
            await self.rounds(pools.PERIOD_S)
            waited_s += pools.PERIOD_S
        return waited_s

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
    assert len(bench.machines.moves) == 12 - 2 * supply.MIN_MACHINES


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


async def test_moved_machine_counts_as_crashed(bench):
    """Suspected tasks would keep off the machines that are moved for them."""
    bench.add_workers('photo', 2)
    bench.add_workers('desk', 3)
    moved = bench.cluster.workers_by_id['desk0']
    bench.submit('a', count=1)
    await bench.rounds(forecasts.WINDOW_S + 1)
    assert bench.machines.moves == [('m-desk0', 'spare')]
    entry = dataclasses.replace(moved.entry, id='next', born_ms=2)
    arrived = worker_registry.WorkerRegistry(bench.cluster).register(entry)
    assert math.isinf(arrived.health.replaced_s)


async def test_late_job_is_not_deferred_for_ever(bench):
    """Another service lacks machines, and lasting tasks hold all of these."""
    bench.add_workers('photo', 5)
    bench.add_workers('desk', 2)
    bench.submit_in_time('wanting', 'letters', count=80)
    bench.submit_lasting('holding', 'photos', count=5)
    for number in range(5):
        bench.start('holding', f'photo{number}', 1)
    bench.submit('late', count=1)
    bench.clock.advance(LATE_S)
    await bench.rounds(1)
    assert await bench.wait_until_planned('late') < ALLOWED_WAIT_S


async def test_late_job_starts_though_no_machine_can_move(bench):
    bench.machines.refusing = True
    bench.add_workers('photo', 4)
    bench.add_workers('desk', 2)
    bench.submit_in_time('wanting', 'letters', count=80)
    bench.submit_lasting('holding', 'photos', count=8)
    for number in range(2):
        bench.start('holding', f'photo{number}', 4)
    bench.submit('late', count=1)
    bench.clock.advance(LATE_S)
    await bench.rounds(1)
    assert bench.pools.withheld
    assert await bench.wait_until_planned('late') < ALLOWED_WAIT_S


async def test_spread_step_waits_for_workers_never_requested(bench):
    """Its tasks may not share a worker, and have room on fewer ones."""
    bench.add_workers('photo', 3)
    bench.add_workers('desk', 8)
    bench.submit_lasting('spread', 'photos', count=7, max_per_worker=1)
    for number in range(3):
        bench.start('spread', f'photo{number}', 1)
    await bench.rounds(ALLOWED_WAIT_S)
    moved_to = [service for _, service in bench.machines.moves]
    assert moved_to.count('photo') == 4


async def test_spread_step_waits_beside_unlisted_standby(bench):
    """Machines on standby are listed only when a service lacks some."""
    bench.add_workers('photo', 2)
    bench.add_workers('desk', 2)
    spare = [
        reports.Machine(id=f'm-spare{number}', service='spare', available=True)
        for number in range(9)
    ]
    bench.submit_lasting('spread', 'photos', count=6, max_per_worker=1)
    with mock.patch.object(
        bench.machines, 'list_all', return_value=result.Success(tuple(spare))
    ):
        await bench.rounds(ALLOWED_WAIT_S)
    moved_to = [service for _, service in bench.machines.moves]
    assert collections.Counter(moved_to) == {'photo': 4}


async def test_negative_spread_adds_machines_without_end(bench):
    bench.add_workers('photo', 2)
    bench.submit_lasting('odd', 'photos', count=2, max_per_worker=-1)
    await bench.rounds(ALLOWED_WAIT_S)
    assert not bench.machines.moves


async def test_workers_of_a_spread_step_go_to_standby(bench):
    bench.add_workers('photo', 9)
    bench.add_workers('desk', 2)
    bench.submit_lasting('spread', 'photos', count=7, max_per_worker=1)
    bench.submit('ended', count=1)
    await bench.rounds(forecasts.WINDOW_S + ALLOWED_WAIT_S)
    assert len(bench.machines.moves) == 2


async def test_worker_whose_move_had_no_answer_gets_no_tasks(bench):
    """The request may be carried out later."""
    bench.add_workers('photo', 2)
    bench.add_workers('desk', 3)
    bench.machines.silent = True
    bench.submit('a', count=40)
    await bench.rounds(1)
    fleet = bench.cluster.workers_by_id.values()
    assert sum(not worker.usable for worker in fleet) == 1
    # Later requests are refused, which settles nothing.
    bench.machines.silent = False
    bench.machines.refusing = True
    await bench.rounds(1)
    assert sum(not worker.usable for worker in fleet) == 1
    await bench.rounds(UNANSWERED_S)
    assert all(worker.usable for worker in fleet)


def test_peak_expires_after_the_window():
    peak = forecasts.PeakDemand(window_s=4)
    for now_s, machines in ((0, 3), (1, 9), (2, 5), (4, 1)):
        peak.record(now_s, machines)
    assert peak.machines() == 9
    assert peak.covers_window
    peak.record(5.5, 2)
    assert peak.machines() == 5


load_tests = functions.loader(__name__, {'bench': bench})
