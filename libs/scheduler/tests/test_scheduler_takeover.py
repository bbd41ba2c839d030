"""Restarts of the lasting tasks of lost workers, across changes of leaders.

Time is virtual.
"""

import asyncio
import contextlib
import dataclasses
import itertools
from collections.abc import Callable, Iterator, Sequence

import scheduler_bench as benches
import test_scheduler_fuzz as simulations

from jackdawlatch.jobs import model
from jackdawlatch.scheduler import (
    cluster_state,
    persistence,
    polling,
    workers,
)
from jackdawlatch.standins import task_workers
from jackdawlatch.testing import functions

BOUNDS = cluster_state.Bounds(lease_s=10, stop_s=0.2)
SLOW_STOP = cluster_state.Bounds(lease_s=10, stop_s=0.9)
# The documented time: 3 s, counted from 6 s after the last run.
RESTART_S = 9.0
# Until the key of a leader that was killed expires.
VACANCY_S = 2.0
HANDOVER_PERIOD_S = 2.5
SETTLED_S = 0.5
# A poll fails within this time, and the lease goes on.
CUT_S = 4.0
# More than a poll or a housekeeping round takes, less than any lease.
PROMPT_S = 1.0
# The leader notices a loss within this time.
NOTICE_S = 2.5
# Less than the time to stop, which follows the lease twice.
QUICK_PERIOD_S = 1.5
# A leader takes over and releases runs within this time.
QUICKEST_PERIOD_S = 0.5
LEASE_S = polling.LEASE_S * (1 + workers.CLOCK_DRIFT_FRACTION)
TASK = benches.task('lasting')


async def test_lost_lasting_task_restarts_after_a_takeover():
    def scenario(simulation: simulations.Simulation) -> None:
        lost = _lose_worker(simulation)
        _kill_leader(simulation)
        simulation.run(VACANCY_S)
        simulation.term = simulation.begin_term()
        simulation.run(RESTART_S - VACANCY_S)
        _check_runs_elsewhere(simulation, lost)

    await asyncio.to_thread(_play, scenario)


async def test_handovers_do_not_delay_a_lasting_task():
    def scenario(simulation: simulations.Simulation) -> None:
        lost = _lose_worker(simulation)
        for _ in range(int(RESTART_S / HANDOVER_PERIOD_S)):
            simulation.run(HANDOVER_PERIOD_S)
            _hand_over(simulation)
        simulation.run(RESTART_S % HANDOVER_PERIOD_S)
        _check_runs_elsewhere(simulation, lost)

    await asyncio.to_thread(_play, scenario)


async def test_time_to_stop_does_not_begin_again():
    def scenario(simulation: simulations.Simulation) -> None:
        lost = _lose_worker(simulation)
        _change_leaders(simulation, QUICK_PERIOD_S)
        _check_runs_elsewhere(simulation, lost)

    await asyncio.to_thread(_play, scenario, SLOW_STOP)


async def test_lease_does_not_grow_by_the_age_of_its_record():
    def scenario(simulation: simulations.Simulation) -> None:
        lost = _lose_worker(simulation)
        _change_leaders(simulation, QUICKEST_PERIOD_S)
        _check_runs_elsewhere(simulation, lost)

    await asyncio.to_thread(_play, scenario)


async def test_lease_is_recorded_for_all_jobs_of_a_worker():
    """A leader may be killed after it has written some of them."""

    def scenario(simulation: simulations.Simulation) -> None:
        lost, tasks = _lose_worker_with_many_jobs(simulation)
        _kill_leader_at_second_write(simulation)
        simulation.run(NOTICE_S + VACANCY_S)
        simulation.bench.store.before_put = None
        simulation.term = simulation.begin_term()
        simulation.run(_due_s(simulation) - NOTICE_S - VACANCY_S)
        _check_runs_elsewhere(simulation, lost, tasks)

    await asyncio.to_thread(_play, scenario)


async def test_worker_that_answers_again_keeps_its_lease():
    """The record of the rest of its lease must not outlive its return."""

    def scenario(simulation: simulations.Simulation) -> None:
        cut = _lose_worker(simulation)
        simulation.run(CUT_S)
        assert _recorded_left_s(simulation) is not None
        cut.down = False
        simulation.bench.add_entry(cut.entry)
        simulation.run(SETTLED_S)
        assert _recorded_left_s(simulation) is None
        _kill_leader(simulation)
        simulation.run(VACANCY_S)
        simulation.term = simulation.begin_term()
        simulation.run(RESTART_S)
        assert TASK in cut.running
        starts = [one for one in cut.started_runs if one.task == TASK]
        assert len(starts) == 1

    await asyncio.to_thread(_play, scenario)


async def test_next_boot_frees_tasks_after_a_takeover():
    def scenario(simulation: simulations.Simulation) -> None:
        lost = _lose_worker(simulation)
        _kill_leader(simulation)
        lost.running.clear()
        _add_boot(simulation, lost.entry.machine)
        simulation.run(VACANCY_S)
        simulation.term = simulation.begin_term()
        simulation.run(PROMPT_S)
        _check_runs_elsewhere(simulation, lost)

    await asyncio.to_thread(_play, scenario)


def _play(
    scenario: Callable[[simulations.Simulation], None],
    bounds: cluster_state.Bounds = BOUNDS,
) -> None:
    with _simulation(bounds) as simulation:
        scenario(simulation)


@contextlib.contextmanager
def _simulation(
    bounds: cluster_state.Bounds,
) -> Iterator[simulations.Simulation]:
    """Yield a simulation in which a lasting task runs."""
    simulation = simulations.Simulation()
    try:
        simulation.bench.bounds = bounds
        _hand_over(simulation)
        _submit(simulation, benches.job('lasting', lasting=True))
        simulation.run(SETTLED_S)
        yield simulation
    finally:
        simulation.close()


def _submit(simulation: simulations.Simulation, job: model.Job) -> None:
    simulation.oracle.jobs_by_id[job.id] = job
    simulation.bench.submit(job)


def _due_s(simulation: simulations.Simulation) -> float:
    """Return within which time the tasks of a lost worker must run again."""
    return LEASE_S + 2 * simulation.bench.bounds.stop_s + PROMPT_S


def _change_leaders(
    simulation: simulations.Simulation, period_s: float
) -> None:
    """Change leaders from the notice of a loss until the tasks must run."""
    left_s = _due_s(simulation) - NOTICE_S
    simulation.run(NOTICE_S)
    for _ in range(int(left_s / period_s)):
        _hand_over(simulation)
        simulation.run(period_s)
    _hand_over(simulation)
    simulation.run(left_s % period_s)


def _recorded_left_s(simulation: simulations.Simulation) -> float | None:
    progress = simulation.bench.progress(TASK.job)
    assert progress is not None
    return progress.tasks[0].lease_left_s


def _lose_worker(
    simulation: simulations.Simulation,
) -> task_workers.FakeWorker:
    """Cut off the worker of the lasting task; its entry is removed."""
    lost = next(
        one for one in simulation.workers.by_id.values() if TASK in one.running
    )
    lost.down = True
    simulation.bench.remove_worker(lost.entry.id)
    return lost


def _lose_worker_with_many_jobs(
    simulation: simulations.Simulation,
) -> tuple[task_workers.FakeWorker, list[model.TaskId]]:
    """Cut off a worker with more jobs than one write takes."""
    room = model.Room(processors_m=10)
    for number in range(3 * persistence.JOBS_PER_WRITE):
        _submit(
            simulation,
            benches.job(f'lasting-{number}', lasting=True, room=room),
        )
    simulation.run(SETTLED_S)
    lost = max(
        simulation.workers.by_id.values(), key=lambda one: len(one.running)
    )
    tasks = [task for task in lost.running if task.job.startswith('lasting')]
    assert len(tasks) > persistence.JOBS_PER_WRITE
    lost.down = True
    return lost, tasks


def _kill_leader_at_second_write(simulation: simulations.Simulation) -> None:
    term = simulation.term
    writes = itertools.count(1)

    async def kill() -> None:
        if next(writes) > 1:
            term.until_s = simulation.loop.time()
            assert term.running is not None
            term.running.cancel()
            await asyncio.sleep(VACANCY_S)

    simulation.bench.store.before_put = kill


def _add_boot(simulation: simulations.Simulation, machine: str) -> None:
    """Register a later boot of a machine, under another id."""
    bench = simulation.bench
    bench.add_worker('w9', born_ms=2)
    bench.entries_by_id['w9'] = dataclasses.replace(
        bench.entries_by_id['w9'], machine=machine
    )


def _kill_leader(simulation: simulations.Simulation) -> None:
    simulation.term.until_s = simulation.loop.time()
    assert simulation.term.running is not None
    simulation.term.running.cancel()


def _hand_over(simulation: simulations.Simulation) -> None:
    simulation.term.until_s = simulation.loop.time()
    simulation.term = simulation.begin_term()


def _check_runs_elsewhere(
    simulation: simulations.Simulation,
    lost: task_workers.FakeWorker,
    tasks: Sequence[model.TaskId] = (TASK,),
) -> None:
    violations = simulation.workers.violations
    assert not violations, violations[0]
    for task in tasks:
        running_on = [
            one.entry.id
            for one in simulation.workers.by_id.values()
            if one is not lost and task in one.running
        ]
        assert running_on, f'{task.name} does not run'


load_tests = functions.loader(__name__)
