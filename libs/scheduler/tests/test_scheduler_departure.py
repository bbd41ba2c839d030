"""Tasks on workers that announce their departure.  Time is virtual."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Callable, Iterator

import scheduler_bench as benches
import test_scheduler_fuzz as simulations

from jackdawlatch.jobs import model
from jackdawlatch.scheduler import cluster_state, reports
from jackdawlatch.standins import task_workers
from jackdawlatch.testing import functions

BOUNDS = cluster_state.Bounds(lease_s=10, stop_s=0.2, report_s=1.5)
NOTICE_S = 4.0
# The documented time: 3 s, counted from 6 s after the last run.
RESTART_S = 9.0
HANDOVER_PERIOD_S = 2.0
SETTLED_S = 0.5
# A stop, a start and a few answers of the store.
MOVE_S = 1.0
STEP_S = 0.05
REPLACEMENT_PERIOD_S = 0.7
JOB = 'lasting'


async def test_lasting_task_moves_before_its_worker_leaves():
    def scenario(simulation: simulations.Simulation) -> None:
        _submit(simulation, count=1)
        leaving = _announce(simulation, _worker_of(simulation, 0))
        simulation.run(MOVE_S)
        assert not leaving.running
        _check_all_run(simulation, count=1)

    await asyncio.to_thread(_play, scenario)


async def test_handovers_lose_no_task_of_a_leaving_worker():
    def scenario(simulation: simulations.Simulation) -> None:
        _submit(simulation, count=1)
        leaving = _announce(simulation, _worker_of(simulation, 0))
        simulation.run(NOTICE_S - STEP_S)
        _hand_over(simulation)
        simulation.run(STEP_S)
        _leave(simulation, leaving)
        for _ in range(int(RESTART_S / HANDOVER_PERIOD_S)):
            simulation.run(HANDOVER_PERIOD_S)
            _hand_over(simulation)
        simulation.run(RESTART_S % HANDOVER_PERIOD_S)
        _check_all_run(simulation, count=1)

    await asyncio.to_thread(_play, scenario)


async def test_departure_keeps_the_availability_of_a_step():
    def scenario(simulation: simulations.Simulation) -> None:
        _submit(simulation, count=3, max_unavailable=1)
        leaving = _announce(simulation, _worker_of(simulation, 0))
        available = []
        for _ in range(int(NOTICE_S / STEP_S)):
            simulation.run(STEP_S)
            available.append(len(_running(simulation)))
        assert min(available) >= 2
        assert not leaving.running
        _check_all_run(simulation, count=3)

    await asyncio.to_thread(_play, scenario)


async def test_task_without_room_stays_until_departure():
    def scenario(simulation: simulations.Simulation) -> None:
        _submit(simulation, count=1)
        leaving = _worker_of(simulation, 0)
        for name in simulations.NAMES:
            if name != leaving.entry.id:
                _announce(simulation, simulation.workers.by_id[name])
        _announce(simulation, leaving)
        simulation.run(NOTICE_S / 2)
        assert benches.task(JOB) in leaving.running
        simulation.run(NOTICE_S / 2)
        _leave(simulation, leaving)
        simulation.bench.add_worker('w9')
        simulation.run(MOVE_S)
        _check_all_run(simulation, count=1)

    await asyncio.to_thread(_play, scenario)


async def test_task_beyond_the_notice_restarts_at_once():
    def scenario(simulation: simulations.Simulation) -> None:
        _submit(simulation, count=1, lasting=False)
        leaving = _announce(simulation, _worker_of(simulation, 0))
        simulation.run(NOTICE_S / 2)
        assert benches.task(JOB) in leaving.running
        simulation.run(NOTICE_S / 2)
        _leave(simulation, leaving)
        simulation.run(MOVE_S)
        _check_all_run(simulation, count=1)

    await asyncio.to_thread(_play, scenario)


async def test_next_leader_moves_tasks_by_an_old_notice():
    def scenario(simulation: simulations.Simulation) -> None:
        _submit(simulation, count=1, lasting=False)
        leaving = _announce(simulation, _worker_of(simulation, 0))
        simulation.run(BOUNDS.report_s)
        _announce(simulation, leaving, NOTICE_S - BOUNDS.report_s)
        simulation.run(BOUNDS.report_s - STEP_S)
        _hand_over(simulation)
        simulation.run(NOTICE_S - 2 * BOUNDS.report_s)
        assert not leaving.running
        _leave(simulation, leaving)
        simulation.run(MOVE_S)
        _check_all_run(simulation, count=1)

    await asyncio.to_thread(_play, scenario)


async def test_rolling_replacement_moves_each_task_once():
    def scenario(simulation: simulations.Simulation) -> None:
        _submit(simulation, count=len(simulations.NAMES))
        for number, name in enumerate(simulations.NAMES):
            simulation.bench.add_worker(f'new{number}', born_ms=2)
            simulation.run(REPLACEMENT_PERIOD_S)
            _announce(simulation, simulation.workers.by_id[name])
            simulation.run(REPLACEMENT_PERIOD_S)
        starts = [
            run
            for one in simulation.workers.by_id.values()
            for run in one.started_runs
            if run.task.job == JOB
        ]
        assert len(starts) == 2 * len(simulations.NAMES)

    await asyncio.to_thread(_play, scenario)


async def test_short_tasks_stay_without_known_departure():
    """Without a known end of the notice, only lasting tasks are moved."""

    def scenario(simulation: simulations.Simulation) -> None:
        _submit(simulation, count=1, lasting=False)
        leaving = _announce(simulation, _worker_of(simulation, 0), None)
        simulation.run(NOTICE_S)
        assert benches.task(JOB) in leaving.running

    await asyncio.to_thread(_play, scenario)


def _play(scenario: Callable[[simulations.Simulation], None]) -> None:
    with _simulation() as simulation:
        scenario(simulation)
        violations = simulation.workers.violations
        assert not violations, violations[0]


@contextlib.contextmanager
def _simulation() -> Iterator[simulations.Simulation]:
    """Yield a simulation without other running tasks."""
    simulation = simulations.Simulation()
    try:
        simulation.bench.bounds = BOUNDS
        _hand_over(simulation)
        while simulation.unfinished():
            simulation.run(simulations.TASK_S)
            simulation.end_all()
        yield simulation
    finally:
        simulation.close()


def _submit(simulation: simulations.Simulation, **step: object) -> None:
    """Submit a job of lasting tasks, unless ``step`` has it otherwise.

    The progress of other tasks is not known.
    """
    for worker in simulation.workers.by_id.values():
        worker.percent = 100 if step.get('lasting', True) else 0
    job = benches.job(JOB, **{'lasting': True, **step})
    simulation.oracle.jobs_by_id[job.id] = job
    simulation.bench.submit(job)
    simulation.run(SETTLED_S)


def _worker_of(
    simulation: simulations.Simulation, index: int
) -> task_workers.FakeWorker:
    task = benches.task(JOB, index)
    return next(
        one for one in simulation.workers.by_id.values() if task in one.running
    )


def _announce(
    simulation: simulations.Simulation,
    leaving: task_workers.FakeWorker,
    remaining_s: float | None = NOTICE_S,
) -> task_workers.FakeWorker:
    entry: reports.WorkerEntry = dataclasses.replace(
        leaving.entry, draining=True, remaining_s=remaining_s
    )
    simulation.bench.add_entry(entry)
    return leaving


def _leave(
    simulation: simulations.Simulation, leaving: task_workers.FakeWorker
) -> None:
    """End a worker with its runs; its entry is removed."""
    leaving.down = True
    leaving.running.clear()
    simulation.bench.remove_worker(leaving.entry.id)


def _hand_over(simulation: simulations.Simulation) -> None:
    simulation.term.until_s = simulation.loop.time()
    simulation.term = simulation.begin_term()


def _running(simulation: simulations.Simulation) -> list[model.TaskId]:
    return [
        task
        for one in simulation.workers.by_id.values()
        for task in one.running
        if task.job == JOB
    ]


def _check_all_run(simulation: simulations.Simulation, count: int) -> None:
    running = {task.index for task in _running(simulation)}
    assert running == set(range(count)), f'only {running} run'


load_tests = functions.loader(__name__)
