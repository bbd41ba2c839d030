"""Workers that start again under their ids, and are cut off; time is virtual.

A request names the id of a worker only, so that a later boot may carry it out.
"""

import asyncio
import contextlib
from collections.abc import Callable, Iterator

import scheduler_bench as benches
import scheduler_oracle as oracles
import scheduler_takeovers as takeovers
import test_scheduler_fuzz as simulations

from jackdawlatch.scheduler import calls, cluster_state, reports
from jackdawlatch.testing import functions

# The worker that starts again; the others are cut off before.
NAME = 'w1'
TASK = benches.task('long')
LONGEST_LEASE = cluster_state.Bounds(lease_s=10, stop_s=0.05)
SOON_S = 0.1
# Longer than any lease and the time to restart a task after it.
LONG_S = 15.0
NEVER_S = 100.0


async def test_run_of_a_later_boot_is_started_elsewhere():
    def scenario(simulation: simulations.Simulation) -> None:
        later = _boot(simulation)
        _start(simulation)
        assert TASK in later.running
        # The answer to the first poll that is sent to it is lost.
        later.delays_s[oracles.Call.POLL] = NEVER_S
        simulation.bench.add_entry(later.entry)
        _check_runs_once(simulation)

    await asyncio.to_thread(_play, scenario)


async def test_later_boot_counts_as_having_no_lease():
    def scenario(simulation: simulations.Simulation) -> None:
        later = _boot(simulation)
        later.lose_answers = 1
        later.delays_s[oracles.Call.STOP] = NEVER_S
        _start(simulation)
        # A poll has found it.
        later.down = True
        _check_runs_once(simulation)

    await asyncio.to_thread(_play, scenario)


async def test_longest_lease_of_a_later_boot_is_not_counted():
    def scenario(simulation: simulations.Simulation) -> None:
        simulation.run(LONG_S)
        later = _boot(simulation)
        _start(simulation)
        later.down = True
        _check_runs_once(simulation)

    await asyncio.to_thread(_play, scenario, LONGEST_LEASE)


async def test_next_leader_does_not_know_the_longest_lease():
    def scenario(simulation: simulations.Simulation) -> None:
        simulation.run(LONG_S)
        later = _boot(simulation)
        _start(simulation)
        simulation.bench.add_entry(later.entry)
        simulation.run(takeovers.SETTLED_S)
        later.down = True
        takeovers.hand_over(simulation)
        _check_runs_once(simulation)

    await asyncio.to_thread(_play, scenario, LONGEST_LEASE)


async def test_later_boot_has_no_lease_after_a_takeover():
    def scenario(simulation: simulations.Simulation) -> None:
        later = _boot(simulation)
        _start(simulation)
        later.down = True
        simulation.bench.add_entry(later.entry)
        takeovers.hand_over(simulation)
        _check_runs_once(simulation)

    await asyncio.to_thread(_play, scenario)


async def test_entry_of_a_former_boot_replaces_a_later_one():
    def scenario(simulation: simulations.Simulation) -> None:
        former = simulation.workers.by_id[NAME].entry
        later = simulation.bench.add_worker(NAME, born_ms=2)
        simulation.run(takeovers.PROMPT_S)
        _start(simulation)
        assert TASK in later.running
        simulation.bench.add_entry(former, former=True)
        _check_runs_once(simulation)

    await asyncio.to_thread(_play, scenario)


async def test_ends_of_a_later_boot_are_acknowledged_unread():
    def scenario(simulation: simulations.Simulation) -> None:
        _lose_poll(simulation, delay_s=4)
        later = simulation.bench.add_worker(NAME, born_ms=2)
        simulation.run(3)
        _start(simulation, lasting=False)
        _lose_poll(simulation, delay_s=NEVER_S)
        later.end(TASK, reports.EndKind.DONE)
        _check_runs_once(simulation)

    await asyncio.to_thread(_play, scenario)


async def test_run_of_a_boot_found_by_a_poll_is_lost():
    def scenario(simulation: simulations.Simulation) -> None:
        later = _boot(simulation)
        later.start_answer_s = 1.0
        _start(simulation)
        assert TASK in later.running
        _check_runs_once(simulation)

    await asyncio.to_thread(_play, scenario)


async def test_task_is_started_beside_a_listed_run_of_it():
    def scenario(simulation: simulations.Simulation) -> None:
        simulation.run(LONG_S)
        simulation.workers.delay(NAME, oracles.Call.START, 4)
        _start(simulation)
        later = _boot(simulation)
        later.down = True
        simulation.run(5)
        # The first start was carried out late, after the second one.
        assert TASK in later.running
        simulation.workers.delay(NAME, oracles.Call.STOP, NEVER_S)
        later.down = False
        simulation.bench.add_entry(later.entry)
        simulation.run(takeovers.PROMPT_S)
        assert TASK in later.running
        for worker in simulation.workers.alive():
            if worker is not later and TASK in worker.running:
                worker.end(TASK, reports.EndKind.STOPPED)
        _check_runs_once(simulation)

    await asyncio.to_thread(_play, scenario)


async def test_boots_soon_after_each_other_are_taken_for_one():
    def scenario(simulation: simulations.Simulation) -> None:
        simulation.bench.add_worker(NAME, 2)
        simulation.run(0.3)
        later = simulation.bench.add_worker(NAME, 3, registered=False)
        _start(simulation)
        assert TASK in later.running
        # The answer to the first poll that is sent to it is lost.
        later.delays_s[oracles.Call.POLL] = NEVER_S
        simulation.bench.add_entry(later.entry)
        _check_runs_once(simulation)

    await asyncio.to_thread(_play, scenario, LONGEST_LEASE)


async def test_lease_of_an_unknown_boot_is_not_counted():
    def scenario(simulation: simulations.Simulation) -> None:
        simulation.run(LONG_S)
        later = _cut_off_at_start(_boot(simulation))
        _start(simulation)
        assert TASK in later.running
        _check_runs_once(simulation)

    await asyncio.to_thread(_play, scenario, LONGEST_LEASE)


async def test_next_leader_does_not_know_an_unknown_boot():
    def scenario(simulation: simulations.Simulation) -> None:
        simulation.run(LONG_S)
        later = _cut_off_at_start(_boot(simulation))
        _start(simulation)
        assert TASK in later.running
        takeovers.hand_over(simulation)
        _check_runs_once(simulation)

    await asyncio.to_thread(_play, scenario, LONGEST_LEASE)


async def test_next_leader_has_no_row_of_an_idle_boot():
    def scenario(simulation: simulations.Simulation) -> None:
        simulation.run(LONG_S)
        _lose_poll(simulation, delay_s=0.5)
        later = _boot(simulation)
        simulation.run(1.2)
        simulation.bench.add_entry(later.entry)
        takeovers.hand_over(simulation)
        simulation.run(0.5)
        assert later.lease.end_s > later.lease.clock_s + 6.5
        _start(simulation)
        assert TASK in later.running
        later.down = True
        _check_runs_once(simulation)

    await asyncio.to_thread(_play, scenario, LONGEST_LEASE)


async def test_lease_record_of_a_later_boot_is_too_short():
    def scenario(simulation: simulations.Simulation) -> None:
        simulation.run(LONG_S)
        _lose_poll(simulation, delay_s=NEVER_S)
        simulation.run(0.5)
        later = _cut_off_at_start(_boot(simulation), answers=True)
        later.start_answer_s = 0.95
        _start(simulation)
        assert TASK in later.running
        simulation.run(1.5)
        takeovers.hand_over(simulation)
        _check_runs_once(simulation)

    await asyncio.to_thread(_play, scenario, LONGEST_LEASE)


async def test_unknown_boot_forgets_an_unread_end():
    def scenario(simulation: simulations.Simulation) -> None:
        _lose_poll(simulation, delay_s=3)
        later = _cut_off_at_start(_boot(simulation))
        _start(simulation, lasting=False)
        assert TASK in later.running
        simulation.run(0.5)
        later.end(TASK, reports.EndKind.DONE)
        simulation.run(4)
        later.down = False
        simulation.bench.add_entry(later.entry)
        _check_runs_once(simulation)

    await asyncio.to_thread(_play, scenario, LONGEST_LEASE)


async def test_late_lease_of_a_removed_boot_is_not_counted():
    """An idle boot that a poll has found is removed until it registers."""

    def scenario(simulation: simulations.Simulation) -> None:
        simulation.run(LONG_S)
        _lose_poll(simulation, delay_s=0.5)
        later = _boot(simulation)
        simulation.run(1.5)
        simulation.bench.add_entry(later.entry)
        simulation.run(0.5)
        assert later.lease.end_s > later.lease.clock_s + 6.5
        _start(simulation)
        assert TASK in later.running
        later.down = True
        _check_runs_once(simulation)

    await asyncio.to_thread(_play, scenario, LONGEST_LEASE)


def _play(
    scenario: Callable[[simulations.Simulation], None],
    bounds: cluster_state.Bounds | None = None,
) -> None:
    """Run a scenario that begins with one idle worker in touch."""
    with _idle(bounds) as simulation:
        scenario(simulation)


@contextlib.contextmanager
def _idle(
    bounds: cluster_state.Bounds | None,
) -> Iterator[simulations.Simulation]:
    simulation = simulations.Simulation()
    try:
        simulation.bench.bounds = bounds or simulation.bench.bounds
        takeovers.hand_over(simulation)
        while simulation.unfinished():
            simulation.run(simulations.TASK_S)
            simulation.end_all()
        for worker in simulation.workers.by_id.values():
            worker.down = worker.entry.id != NAME
        simulation.run(takeovers.PROMPT_S)
        yield simulation
    finally:
        simulation.close()


def _boot(simulation: simulations.Simulation) -> oracles.Worker:
    """Start the worker again, without registration."""
    later = simulation.bench.add_worker(NAME, 2, registered=False)
    assert isinstance(later, oracles.Worker)
    return later


def _cut_off_at_start(
    worker: oracles.Worker, answers: bool = False
) -> oracles.Worker:
    """Let a boot be cut off once it has carried out a start."""
    start = worker.start

    def start_and_cut_off(request: calls.Start) -> calls.Refusal | None:
        refusal = start(request)
        worker.down = True
        worker.lose_answers = int(not answers)
        return refusal

    worker.start = start_and_cut_off  # type: ignore[method-assign]
    return worker


def _start(simulation: simulations.Simulation, lasting: bool = True) -> None:
    """Let the leader start the task on the worker; the others come back."""
    takeovers.submit(simulation, benches.job(TASK.job, lasting=lasting))
    simulation.run(SOON_S)
    for worker in simulation.workers.by_id.values():
        if worker.entry.id != NAME:
            worker.down = False


def _lose_poll(simulation: simulations.Simulation, delay_s: float) -> None:
    """Wait until a poll of the worker is sent that is carried out late."""
    worker = simulation.workers.by_id[NAME]
    assert isinstance(worker, oracles.Worker)
    worker.delays_s[oracles.Call.POLL] = delay_s
    while worker.delays_s:
        simulation.run(simulations.POLL_S)


def _check_runs_once(simulation: simulations.Simulation) -> None:
    """Check that the task runs, or is done, and did not run twice."""
    simulation.run(LONG_S)
    violations = simulation.workers.violations
    assert not violations, violations[0]
    running = any(TASK in one.running for one in simulation.workers.alive())
    done = TASK in simulation.oracle.done
    assert running or done, f'{TASK.name} does not run'


load_tests = functions.loader(__name__)
