"""Departures, stalls and waves beside other faults.  Time is virtual."""

import asyncio
from collections.abc import Callable

import scheduler_bench as benches
import test_scheduler_departure as departures
import test_scheduler_fuzz as simulations
from returns import result

from jackdawlatch.jobs import model
from jackdawlatch.model import records
from jackdawlatch.scheduler import calls, polling, reports, waves
from jackdawlatch.standins import task_workers
from jackdawlatch.testing import functions

# How long a client waits for the answer of a worker that gives none.
POLL_TIMEOUT_S = 0.8
# Just before the tasks without another place are stopped.
FROZEN_S = 3.1
# A poll without progress, and the next one.
STALL_S = 6.0
SLOW_WRITE_S = 2.5
WAVE_S = 20.0
QUICK_HANDOVER_S = 1.1
MACHINES = tuple(f'm-{name}' for name in simulations.NAMES)


async def test_refused_stop_is_sent_again():
    """A worker that answers 503 has not stopped the run."""

    def scenario(simulation: simulations.Simulation) -> None:
        departures._submit(simulation, count=1)
        _refuse_once(simulation.workers)
        leaving = _announce_worker_of(simulation, 0)
        simulation.run(departures.NOTICE_S)
        assert not leaving.running
        departures._check_all_run(simulation, count=1)

    await asyncio.to_thread(departures._play, scenario)


async def test_unresponsive_worker_delays_no_departure():
    def scenario(simulation: simulations.Simulation) -> None:
        _submit_starting(simulation)
        unresponsive = departures._worker_of(simulation, 1)
        _limit_polls(simulation.workers)
        leaving = _announce_worker_of(simulation, 0)
        simulation.run(FROZEN_S)
        unresponsive.answers_polls.clear()
        simulation.run(departures.NOTICE_S - FROZEN_S)
        departures._leave(simulation, leaving)
        simulation.run(departures.MOVE_S)
        _check_runs(simulation, 0)

    await asyncio.to_thread(departures._play, scenario)


async def test_place_for_one_task_of_a_step_moves_one():
    def scenario(simulation: simulations.Simulation) -> None:
        departures._submit(simulation, count=2, max_per_worker=1)
        for index in range(2):
            _announce_worker_of(simulation, index)
        simulation.run(departures.MOVE_S)
        departures._check_all_run(simulation, count=2)

    await asyncio.to_thread(departures._play, scenario)


async def test_task_without_ticket_elsewhere_stays():
    def scenario(simulation: simulations.Simulation) -> None:
        simulation.bench.advice.approved = {'w1': 'ticket'}
        _submit_advised(simulation)
        leaving = _announce_worker_of(simulation, 0)
        simulation.run(departures.NOTICE_S / 2)
        assert benches.task(departures.JOB) in leaving.running

    await asyncio.to_thread(departures._play, scenario)


async def test_start_is_not_sent_after_a_notice():
    def scenario(simulation: simulations.Simulation) -> None:
        for name in ('w2', 'w3'):
            simulation.bench.remove_worker(name)
        simulation.run(departures.SETTLED_S)
        _slow_down(simulation.bench)
        departures._submit(simulation, count=1)
        worker = simulation.workers.by_id['w1']
        before = len(worker.started_runs)
        departures._announce(simulation, worker)
        simulation.run(2 * SLOW_WRITE_S)
        assert len(worker.started_runs) == before

    await asyncio.to_thread(departures._play, scenario)


async def test_boot_at_the_same_address_releases_its_tasks():
    """The answer of another boot proves that the worker has ended."""

    def scenario(simulation: simulations.Simulation) -> None:
        departures._submit(simulation, count=1)
        lost = departures._worker_of(simulation, 0)
        _replace_at_address(simulation.workers, lost)
        departures._leave(simulation, lost)
        # A fake worker that ends does not break off the waiting poll.
        simulation.run(polling.POLL_WAIT_S + departures.MOVE_S)
        departures._check_all_run(simulation, count=1)

    await asyncio.to_thread(departures._play, scenario)


async def test_handovers_hide_no_stalled_task():
    def scenario(simulation: simulations.Simulation) -> None:
        departures._submit(simulation, count=1, lasting=False)
        stalled = departures._worker_of(simulation, 0)
        for _ in range(int(STALL_S / departures.HANDOVER_PERIOD_S)):
            simulation.run(departures.HANDOVER_PERIOD_S)
            departures._hand_over(simulation)
        simulation.run(departures.HANDOVER_PERIOD_S)
        assert benches.task(departures.JOB) not in stalled.running

    await asyncio.to_thread(departures._play, scenario)


async def test_quick_handovers_do_not_delay_the_restart():
    """The rest of a lease is read later than it was recorded."""

    def scenario(simulation: simulations.Simulation) -> None:
        departures._submit(simulation, count=1)
        departures._leave(simulation, departures._worker_of(simulation, 0))
        for _ in range(int(departures.RESTART_S / QUICK_HANDOVER_S)):
            simulation.run(QUICK_HANDOVER_S)
            departures._hand_over(simulation)
        simulation.run(departures.RESTART_S % QUICK_HANDOVER_S)
        departures._check_all_run(simulation, count=1)

    await asyncio.to_thread(departures._play, scenario)


async def test_handovers_hold_up_no_wave():
    def scenario(simulation: simulations.Simulation) -> None:
        wave = waves.Wave(1, MACHINES, WAVE_S, max_count=1)
        _add_to_each_leader(simulation.bench, wave)
        for _ in range(int(WAVE_S / departures.HANDOVER_PERIOD_S)):
            departures._hand_over(simulation)
            simulation.run(departures.HANDOVER_PERIOD_S)
        assert set(simulation.bench.machines.maintained) == set(MACHINES)

    await asyncio.to_thread(departures._play, scenario)


def _announce_worker_of(
    simulation: simulations.Simulation, index: int
) -> task_workers.FakeWorker:
    return departures._announce(
        simulation, departures._worker_of(simulation, index)
    )


def _submit_starting(simulation: simulations.Simulation) -> None:
    """Submit two lasting tasks on different workers that do not serve yet."""
    for worker in simulation.workers.by_id.values():
        worker.percent = 0
    job = benches.job(
        departures.JOB,
        count=2,
        lasting=True,
        max_per_worker=1,
        max_unavailable=1,
    )
    _submit_job(simulation, job)


def _submit_advised(simulation: simulations.Simulation) -> None:
    job = benches.job(departures.JOB, count=1, lasting=True)
    _submit_job(simulation, records.replace(job, queue='advised'))


def _submit_job(simulation: simulations.Simulation, job: model.Job) -> None:
    simulation.oracle.jobs_by_id[job.id] = job
    simulation.bench.submit(job)
    simulation.run(departures.SETTLED_S)


def _check_runs(simulation: simulations.Simulation, index: int) -> None:
    running = {task.index for task in departures._running(simulation)}
    assert index in running, f'only {running} run'


def _refuse_once(workers: task_workers.FakeWorkers) -> None:
    """Refuse the next stop."""
    stop = workers.stop

    async def refuse(
        target: calls.Target, run_id: calls.RunId, token: int
    ) -> result.Result[None, calls.CallFailure]:
        workers.stop = stop  # type: ignore[method-assign]
        return _refused(calls.Refusal.UNHEALTHY)

    workers.stop = refuse  # type: ignore[method-assign]


def _limit_polls(workers: task_workers.FakeWorkers) -> None:
    """Limit how long a poll waits for an answer."""
    poll = workers.poll

    async def limited(
        target: calls.Target, request: calls.Poll
    ) -> result.Result[reports.WorkerStatus, calls.CallFailure]:
        try:
            async with asyncio.timeout(request.wait_s + POLL_TIMEOUT_S):
                return await poll(target, request)
        except TimeoutError:
            return result.Failure(calls.Unanswered(message='no answer'))

    workers.poll = limited  # type: ignore[method-assign]


def _replace_at_address(
    workers: task_workers.FakeWorkers, lost: task_workers.FakeWorker
) -> None:
    """Let another boot answer at the address of a worker."""
    poll = workers.poll

    async def answer(
        target: calls.Target, request: calls.Poll
    ) -> result.Result[reports.WorkerStatus, calls.CallFailure]:
        if target.id == lost.entry.id:
            return _refused(calls.Refusal.OTHER_BOOT)
        return await poll(target, request)

    workers.poll = answer  # type: ignore[method-assign]


def _slow_down(bench: benches.Bench) -> None:
    """Delay every write of the leader."""
    commit = bench.store.commit

    async def delayed(transaction: object) -> object:
        await asyncio.sleep(SLOW_WRITE_S)
        return await commit(transaction)  # type: ignore[arg-type]

    bench.store.commit = delayed  # type: ignore[assignment, method-assign]


def _add_to_each_leader(bench: benches.Bench, wave: waves.Wave) -> None:
    leader = bench.leader

    def with_wave(
        leading: Callable[[], bool], held: Callable[[], bool]
    ) -> object:
        led = leader(leading, held)
        led.waves.add(wave)
        return led

    bench.leader = with_wave  # type: ignore[assignment, method-assign]


def _refused(reason: calls.Refusal) -> result.Failure[calls.CallFailure]:
    return result.Failure(calls.Refused(message='refused', reason=reason))


load_tests = functions.loader(__name__)
