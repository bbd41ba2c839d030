"""Restarts of the lasting tasks of lost workers, across changes of leaders.

Time is virtual.
"""

import asyncio
import contextlib
import dataclasses
from collections.abc import Callable, Iterator

import scheduler_bench as benches
import test_scheduler_fuzz as simulations

from jackdawlatch.scheduler import cluster_state
from jackdawlatch.standins import task_workers
from jackdawlatch.testing import functions

BOUNDS = cluster_state.Bounds(lease_s=10, stop_s=0.2)
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


def _play(scenario: Callable[[simulations.Simulation], None]) -> None:
    with _simulation() as simulation:
        scenario(simulation)


@contextlib.contextmanager
def _simulation() -> Iterator[simulations.Simulation]:
    """Yield a simulation in which a lasting task runs."""
    simulation = simulations.Simulation()
    try:
        simulation.bench.bounds = BOUNDS
        _hand_over(simulation)
        job = benches.job('lasting', lasting=True)
        simulation.oracle.jobs_by_id[job.id] = job
        simulation.bench.submit(job)
        simulation.run(SETTLED_S)
        yield simulation
    finally:
        simulation.close()


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
    simulation: simulations.Simulation, lost: task_workers.FakeWorker
) -> None:
    violations = simulation.workers.violations
    assert not violations, violations[0]
    running_on = [
        one.entry.id
        for one in simulation.workers.by_id.values()
        if one is not lost and TASK in one.running
    ]
    assert running_on, f'{TASK.name} does not run'


load_tests = functions.loader(__name__)
