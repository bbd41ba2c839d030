"""Restarts of the lasting tasks of lost workers, across changes of leaders.

Time is virtual.
"""

import asyncio
import dataclasses
import itertools

import scheduler_bench as benches
import scheduler_leases as leases
import scheduler_takeovers as takeovers
import test_scheduler_fuzz as simulations

from jackdawlatch.jobs import model, stored
from jackdawlatch.policy import crashes
from jackdawlatch.scheduler import persistence, reports
from jackdawlatch.standins import task_workers
from jackdawlatch.testing import functions

# The documented time: 3 s, counted from 6 s after the last run.
RESTART_S = 9.0
# Until the key of a leader that was killed expires.
VACANCY_S = 2.0
HANDOVER_PERIOD_S = 2.5
# A poll fails within this time, and the lease goes on.
CUT_S = 4.0
# The leader notices a loss within this time.
NOTICE_S = 2.5
# Less than the time to stop, which follows the lease twice.
QUICK_PERIOD_S = 1.5
# A leader takes over and releases runs within this time.
QUICKEST_PERIOD_S = 0.5


async def test_lost_lasting_task_restarts_after_a_takeover():
    def scenario(simulation: simulations.Simulation) -> None:
        lost = takeovers.lose_worker(simulation)
        takeovers.kill_leader(simulation)
        simulation.run(VACANCY_S)
        simulation.term = simulation.begin_term()
        simulation.run(RESTART_S - VACANCY_S)
        takeovers.check_runs_elsewhere(simulation, lost)

    await asyncio.to_thread(takeovers.play, scenario)


async def test_handovers_do_not_delay_a_lasting_task():
    def scenario(simulation: simulations.Simulation) -> None:
        lost = takeovers.lose_worker(simulation)
        for _ in range(int(RESTART_S / HANDOVER_PERIOD_S)):
            simulation.run(HANDOVER_PERIOD_S)
            takeovers.hand_over(simulation)
        simulation.run(RESTART_S % HANDOVER_PERIOD_S)
        takeovers.check_runs_elsewhere(simulation, lost)

    await asyncio.to_thread(takeovers.play, scenario)


async def test_time_to_stop_does_not_begin_again():
    def scenario(simulation: simulations.Simulation) -> None:
        lost = takeovers.lose_worker(simulation)
        _change_leaders(simulation, QUICK_PERIOD_S)
        takeovers.check_runs_elsewhere(simulation, lost)

    await asyncio.to_thread(takeovers.play, scenario, takeovers.SLOW_STOP)


async def test_lease_does_not_grow_by_the_age_of_its_record():
    def scenario(simulation: simulations.Simulation) -> None:
        lost = takeovers.lose_worker(simulation)
        _change_leaders(simulation, QUICKEST_PERIOD_S)
        takeovers.check_runs_elsewhere(simulation, lost)

    await asyncio.to_thread(takeovers.play, scenario)


async def test_lease_is_recorded_for_all_jobs_of_a_worker():
    """A leader may be killed after it has written some of them."""

    def scenario(simulation: simulations.Simulation) -> None:
        lost, tasks = _lose_worker_with_many_jobs(simulation)
        _kill_leader_at_second_write(simulation)
        simulation.run(NOTICE_S + VACANCY_S)
        simulation.bench.store.before_put = None
        simulation.term = simulation.begin_term()
        simulation.run(takeovers.due_s(simulation) - NOTICE_S - VACANCY_S)
        takeovers.check_runs_elsewhere(simulation, lost, tasks)

    await asyncio.to_thread(takeovers.play, scenario)


async def test_process_that_started_later_knows_the_lease():
    """It counts from when it reads the record, which is rewritten."""

    def scenario(simulation: simulations.Simulation) -> None:
        lost = takeovers.lose_worker(simulation)
        simulation.run(takeovers.LEASE_S - takeovers.SETTLED_S)
        takeovers.kill_leader(simulation)
        simulation.term = simulation.begin_term(just_started=True)
        simulation.run(
            takeovers.due_s(simulation)
            - takeovers.LEASE_S
            + takeovers.SETTLED_S
        )
        takeovers.check_runs_elsewhere(simulation, lost)

    await asyncio.to_thread(takeovers.play, scenario)


async def test_process_that_started_later_knows_the_end():
    def scenario(simulation: simulations.Simulation) -> None:
        lost = takeovers.lose_worker(simulation)
        simulation.run(takeovers.LEASE_S)
        takeovers.hand_over(simulation, just_started=True)
        simulation.run(QUICK_PERIOD_S)
        takeovers.hand_over(simulation, just_started=True)
        simulation.run(
            takeovers.due_s(simulation) - takeovers.LEASE_S - QUICK_PERIOD_S
        )
        takeovers.check_runs_elsewhere(simulation, lost)

    await asyncio.to_thread(takeovers.play, scenario, takeovers.SLOW_STOP)


async def test_worker_that_answers_again_keeps_its_lease():
    """The record of the rest of its lease must not outlive its return."""

    def scenario(simulation: simulations.Simulation) -> None:
        cut = takeovers.lose_worker(simulation)
        simulation.run(CUT_S)
        assert _recorded(simulation) == [cut.entry.id]
        cut.down = False
        simulation.bench.add_entry(cut.entry)
        simulation.run(takeovers.SETTLED_S)
        assert not _recorded(simulation)
        takeovers.kill_leader(simulation)
        simulation.run(VACANCY_S)
        simulation.term = simulation.begin_term()
        simulation.run(RESTART_S)
        assert takeovers.TASK in cut.running
        starts = [one for one in cut.started_runs if one.task == takeovers.TASK]
        assert len(starts) == 1

    await asyncio.to_thread(takeovers.play, scenario)


async def test_next_boot_frees_tasks_after_a_takeover():
    def scenario(simulation: simulations.Simulation) -> None:
        lost = takeovers.lose_worker(simulation)
        takeovers.kill_leader(simulation)
        lost.running.clear()
        _add_boot(simulation, lost.entry.machine)
        simulation.run(VACANCY_S)
        simulation.term = simulation.begin_term()
        simulation.run(takeovers.PROMPT_S)
        takeovers.check_runs_elsewhere(simulation, lost)

    await asyncio.to_thread(takeovers.play, scenario)


async def test_cut_off_workers_count_as_crashed():
    """Guards against a job that fails since its workers were cut off."""

    def scenario(simulation: simulations.Simulation) -> None:
        for _ in range(crashes.MAX_CRASHES):
            _restart_task(simulation)
            lost = takeovers.lose_worker(simulation)
            simulation.run(takeovers.due_s(simulation))
            lost.down = False
            simulation.bench.add_entry(lost.entry)
            simulation.run(takeovers.SETTLED_S)
        assert simulation.bench.phase('lasting') is stored.JobPhase.RUNNING
        takeovers.check_runs_elsewhere(simulation, lost)

    await asyncio.to_thread(takeovers.play, scenario)


def _restart_task(simulation: simulations.Simulation) -> None:
    """End the run of the lasting task; its next one has just started."""
    for holder in _holders(simulation):
        holder.end(takeovers.TASK, reports.EndKind.STOPPED)
    while not _holders(simulation):
        simulation.run(simulations.POLL_S)


def _holders(
    simulation: simulations.Simulation,
) -> list[task_workers.FakeWorker]:
    return [
        worker
        for worker in simulation.workers.by_id.values()
        if takeovers.TASK in worker.running
    ]


def _change_leaders(
    simulation: simulations.Simulation, period_s: float
) -> None:
    """Change leaders from the notice of a loss until the tasks must run."""
    left_s = takeovers.due_s(simulation) - NOTICE_S
    simulation.run(NOTICE_S)
    for _ in range(int(left_s / period_s)):
        takeovers.hand_over(simulation)
        simulation.run(period_s)
    takeovers.hand_over(simulation)
    simulation.run(left_s % period_s)


def _recorded(simulation: simulations.Simulation) -> list[str]:
    return [rest.worker for rest in leases.recorded(simulation.bench)]


def _lose_worker_with_many_jobs(
    simulation: simulations.Simulation,
) -> tuple[task_workers.FakeWorker, list[model.TaskId]]:
    """Cut off a worker with more jobs than one write takes."""
    room = model.Room(processors_m=10)
    for number in range(3 * persistence.JOBS_PER_WRITE):
        takeovers.submit(
            simulation,
            benches.job(f'lasting-{number}', lasting=True, room=room),
        )
    simulation.run(takeovers.SETTLED_S)
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


load_tests = functions.loader(__name__)
