"""Starts without an answer, which later boots carry out; time is virtual.

A worker that has answered since is cut off, starts again behind the cut under its
id, and carries out the start up to 12 s after it was sent.
"""

import asyncio
import dataclasses
from collections.abc import Callable

import scheduler_bench as benches
import scheduler_fleets as fleets
import scheduler_oracle as oracles
import scheduler_takeovers as takeovers
import test_scheduler_fuzz as simulations
import test_scheduler_reborn as reborn

from jackdawlatch.jobs import model
from jackdawlatch.scheduler import late_starts, polling, runs
from jackdawlatch.testing import functions

LATE_S = 10.5
GIVEN_UP_S = 2.0
CUT_AFTER_S = 7.3
DOWN_S = 0.6
CUT_S = 5.5
# No later boot can carry out a start once its worker has answered a poll that was
# sent so long after it.
ANSWERED_S = (
    oracles.ANSWER_TIMEOUT_S
    + late_starts.LATE_REQUEST_S
    + polling.POLL_WAIT_S
    + takeovers.PROMPT_S
)
# A lasting task without a run must run again within this time.
LASTING_S = 9.0


async def test_settled_start_is_carried_out_by_later_boot():
    """Guards against a second run elsewhere while the first may still begin."""

    def scenario(simulation: simulations.Simulation) -> None:
        _start_late(simulation)
        _leave_no_room(simulation)
        simulation.run(CUT_AFTER_S)
        _check_cut(simulation)

    await _play(scenario)


async def test_first_start_is_carried_out_after_the_repeated():
    """Guards against a restart after the lease of the boot that has ended."""

    def scenario(simulation: simulations.Simulation) -> None:
        _start_late(simulation)
        simulation.run(CUT_AFTER_S)
        assert _is_running(simulation)
        _check_cut(simulation, cut_s=2 * CUT_S)

    await _play(scenario)


async def test_next_leader_does_not_know_of_a_late_start():
    def scenario(simulation: simulations.Simulation) -> None:
        _start_late(simulation)
        _leave_no_room(simulation)
        for _ in range(2):
            simulation.run(CUT_AFTER_S / 2)
            takeovers.hand_over(simulation)
        _check_cut(simulation)

    await _play(scenario)


async def test_leader_is_lost_before_it_gives_up_the_answer():
    def scenario(simulation: simulations.Simulation) -> None:
        _start_late(simulation)
        takeovers.hand_over(simulation)
        _leave_no_room(simulation)
        simulation.run(CUT_AFTER_S)
        _check_cut(simulation)

    await _play(scenario)


async def test_late_start_on_a_worker_that_is_silent_since():
    """Guards against the same on a worker that has not answered at all."""

    def scenario(simulation: simulations.Simulation) -> None:
        _start_late(simulation)
        _check_cut(simulation, cut_s=3 * CUT_S)

    await _play(scenario)


async def test_task_waits_for_a_worker_that_goes_on():
    """Guards against a wait beyond the time in which a start may arrive."""

    def scenario(simulation: simulations.Simulation) -> None:
        _start_late(simulation)
        _leave_no_room(simulation)
        simulation.run(ANSWERED_S)
        assert _is_running(simulation)
        reborn._check_runs_once(simulation)

    await _play(scenario)


async def test_silent_connections_delay_lasting_tasks():
    """Guards against a wait of all tasks after all connections went silent.

    The start of one of them is carried out late by a later boot.
    """

    def scenario(simulation: simulations.Simulation) -> None:
        for worker in simulation.workers.alive():
            worker.down = False
        _start_late(simulation, count=6, max_per_worker=2)
        _silence_all(simulation)
        simulation.run(GIVEN_UP_S)
        for worker in simulation.workers.alive():
            worker.down = False
        simulation.run(LASTING_S - GIVEN_UP_S)
        assert len(_running(simulation)) == 6
        _check_cut(simulation)

    await _play(scenario)


async def test_late_start_of_one_member_of_a_gang():
    def scenario(simulation: simulations.Simulation) -> None:
        _start_late(simulation, count=2, gang=True)
        simulation.run(CUT_AFTER_S)
        assert len(_running(simulation)) == 2
        _check_cut(simulation)

    await _play(scenario)


def test_machine_with_another_id_still_binds_tasks(fleet):
    """Guards against tasks that wait for a worker which does not come back."""
    for unregistered in (False, True):
        worker = fleet.boot('w1', machine='m')
        starts = fleet.cluster.dependencies.late_starts
        starts.add(reborn.TASK, 'w1', fleet.clock.monotonic_s())
        fleet.clock.advance(1)
        starts.confirm('w1', fleet.clock.monotonic_s())
        assert starts.of(reborn.TASK) == {'w1'}
        if unregistered:
            fleet.lose(worker)
            fleet.registry.unregister('w1')
            fleet.registry.remove_gone_workers()
        fleet.boot('w2', machine='m')
        assert not starts.of(reborn.TASK)


def test_silent_worker_binds_its_tasks_too_early():
    starts = late_starts.LateStarts()
    starts.add(reborn.TASK, 'w1', now_s=1)
    starts.confirm('w1', requested_s=0.5)
    assert starts.admits(reborn.TASK, 'w2')
    starts.confirm('w1', requested_s=2)
    assert not starts.admits(reborn.TASK, 'w2')
    assert starts.admits(reborn.TASK, 'w1')
    starts.confirm('w1', requested_s=1 + late_starts.LATE_REQUEST_S)
    assert not starts


def test_late_start_binds_until_its_run_has_lapsed(fleet):
    worker = fleet.boot('w1')
    run = fleet.start(fleet.add_job(), worker, runs.RunPhase.UNSETTLED)
    starts = fleet.cluster.dependencies.late_starts
    starts.bind({(run.task.id, 'w1'): fleet.clock.monotonic_s()})
    fleet.clock.advance(fleets.LONGEST_LEASE_S)
    fleet.registry.expire_late_starts()
    assert starts
    fleet.clock.advance(1)
    fleet.registry.expire_late_starts()
    assert not starts


async def _play(
    scenario: Callable[[simulations.Simulation], None],
) -> None:
    def strict(simulation: simulations.Simulation) -> None:
        simulation.workers.excuses_late_starts = False
        # Later boots have a younger clock than the start was sent for.
        simulation.run(reborn.LONG_S)
        scenario(simulation)

    await asyncio.to_thread(reborn._play, strict, reborn.LONGEST_LEASE)


def _start_late(simulation: simulations.Simulation, **step: object) -> None:
    """Let the leader send a start that is carried out late."""
    simulation.workers.delay(reborn.NAME, oracles.Call.START, LATE_S)
    if not step:
        reborn._start(simulation)
        return
    lasting = not step.get('gang')
    job = benches.job(reborn.TASK.job, lasting=lasting, **step)
    takeovers.submit(simulation, job)
    for worker in simulation.workers.alive():
        worker.down = False
    simulation.run(reborn.SOON_S)


def _leave_no_room(simulation: simulations.Simulation) -> None:
    """Let another job take the place of the start without an answer."""
    worker = simulation.workers.by_id[reborn.NAME]
    room = model.Room(processors_m=1, memory_mb=1)
    worker.entry = dataclasses.replace(worker.entry, room=room)
    simulation.bench.add_entry(worker.entry)


def _silence_all(simulation: simulations.Simulation) -> None:
    for worker in simulation.workers.alive():
        worker.down = True


def _check_cut(
    simulation: simulations.Simulation, cut_s: float = CUT_S
) -> None:
    """Cut the worker off; it starts again and carries out the start."""
    simulation.workers.by_id[reborn.NAME].down = True
    simulation.run(DOWN_S)
    later = reborn._boot(simulation)
    later.down = True
    simulation.run(cut_s - DOWN_S)
    assert reborn.TASK in later.running
    later.down = False
    simulation.bench.add_entry(later.entry)
    reborn._check_runs_once(simulation)


def _running(simulation: simulations.Simulation) -> list[model.TaskId]:
    return [
        task for worker in simulation.workers.alive() for task in worker.running
    ]


def _is_running(simulation: simulations.Simulation) -> bool:
    return reborn.TASK in _running(simulation)


load_tests = functions.loader(__name__, {'fleet': fleets.fleet})
