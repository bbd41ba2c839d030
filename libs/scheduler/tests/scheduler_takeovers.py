"""Scenarios in which the worker of a lasting task is lost; time is virtual."""

import contextlib
from collections.abc import Callable, Iterator, Sequence

import scheduler_bench as benches
import test_scheduler_fuzz as simulations

from jackdawlatch.jobs import model
from jackdawlatch.scheduler import cluster_state, workers
from jackdawlatch.standins import task_workers

BOUNDS = cluster_state.Bounds(lease_s=10, stop_s=0.2)
SLOW_STOP = cluster_state.Bounds(lease_s=10, stop_s=0.9)
LEASE_S = workers.LEASE_S * (1 + workers.CLOCK_DRIFT_FRACTION)
SETTLED_S = 0.5
# More than a poll or a housekeeping round takes, less than any lease.
PROMPT_S = 1.0
TASK = benches.task('lasting')


def play(
    scenario: Callable[[simulations.Simulation], None],
    bounds: cluster_state.Bounds = BOUNDS,
) -> None:
    """Run a scenario in which a lasting task runs."""
    with _lasting(bounds) as simulation:
        scenario(simulation)


@contextlib.contextmanager
def _lasting(
    bounds: cluster_state.Bounds,
) -> Iterator[simulations.Simulation]:
    """Yield a simulation in which a lasting task runs."""
    simulation = simulations.Simulation()
    try:
        simulation.bench.bounds = bounds
        hand_over(simulation)
        submit(simulation, benches.job('lasting', lasting=True))
        simulation.run(SETTLED_S)
        yield simulation
    finally:
        simulation.close()


def submit(simulation: simulations.Simulation, job: model.Job) -> None:
    simulation.oracle.jobs_by_id[job.id] = job
    simulation.bench.submit(job)


def due_s(simulation: simulations.Simulation) -> float:
    """Return within which time the tasks of a lost worker must run again."""
    return LEASE_S + 2 * simulation.bench.bounds.stop_s + PROMPT_S


def cut_worker(
    simulation: simulations.Simulation,
) -> task_workers.FakeWorker:
    """Cut off the worker of the lasting task."""
    cut = next(
        one for one in simulation.workers.by_id.values() if TASK in one.running
    )
    cut.down = True
    return cut


def lose_worker(
    simulation: simulations.Simulation,
) -> task_workers.FakeWorker:
    """Cut off the worker of the lasting task; its entry is removed."""
    lost = cut_worker(simulation)
    simulation.bench.remove_worker(lost.entry.id)
    return lost


def kill_leader(simulation: simulations.Simulation) -> None:
    simulation.term.until_s = simulation.loop.time()
    assert simulation.term.running is not None
    simulation.term.running.cancel()


def hand_over(
    simulation: simulations.Simulation, just_started: bool = False
) -> None:
    simulation.term.until_s = simulation.loop.time()
    simulation.term = simulation.begin_term(just_started)


def check_runs_elsewhere(
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
