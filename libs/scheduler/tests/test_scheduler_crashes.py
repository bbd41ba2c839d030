"""Tasks that crash their workers, and tasks that are lost beside them."""

import asyncio
import dataclasses
import functools
import math

import msgspec
import scheduler_bench as benches
import scheduler_fleets as fleets

from jackdawlatch.jobs import model, stored
from jackdawlatch.policy import crashes
from jackdawlatch.scheduler import (
    placing,
    reports,
    runs,
    tasks,
    workers,
)
from jackdawlatch.testing import functions, waiting

DONE = reports.EndKind.DONE
FAILED = reports.EndKind.FAILED
# Starts that may follow after the third crash under a task.
MAX_STARTS = 5


async def test_crashing_task_is_not_started_again_and_again(bench):
    for name in ('w1', 'w2', 'w3'):
        bench.add_worker(name)
    bench.submit(benches.job())
    async with bench.lead():
        starts = await _crash_until_failed(bench, 'a')
    assert starts <= MAX_STARTS
    # One worker crashed for no reason: that is not enough to give a task up.
    assert starts > 1


async def test_crashes_are_known_to_the_next_leader(bench):
    bench.add_worker('w1')
    bench.submit(benches.job())
    for count in range(1, crashes.MAX_CRASHES):
        async with bench.lead():
            _crash(bench, await _next_running(bench, benches.task()))
            await waiting.until(functools.partial(_has_crashes, bench, count))
    async with bench.lead():
        starts = await _crash_until_failed(bench, 'a')
    # The third crash, of which two were under the leaders before.
    assert starts == 1


async def test_neighbour_of_a_crashing_task_is_not_given_up(bench):
    for name in ('w1', 'w2', 'w3'):
        bench.add_worker(name)
    bench.submit(benches.job('a'))
    bench.submit(benches.job('b'))
    deadly, neighbour = benches.task('a'), benches.task('b')
    async with bench.lead():
        _crash(bench, await _next_running(bench, deadly))
        _crash(bench, await _next_running(bench, deadly))
        worker = await _next_running(bench, neighbour)
        # The first crash keeps them apart.
        assert deadly not in worker.running
        _crash(bench, await _next_running(bench, deadly))
        await waiting.until(lambda: bench.phase('a') is stored.JobPhase.FAILED)
        worker = await _next_running(bench, neighbour)
        worker.end(neighbour, DONE)
        await waiting.until(lambda: bench.phase('b') is stored.JobPhase.DONE)


def test_record_without_crashes_is_read():
    before = b'[0, 0, 7, 4, [2], false, "w1", 5, "saved"]'
    progress = msgspec.json.decode(before, type=stored.TaskProgress)
    assert (progress.attempt, progress.checkpoint) == (4, 'saved')
    assert not progress.crashed_attempts


def test_task_is_given_up_after_crashes_in_a_row(fleet):
    task = fleet.add_job()
    fleet.crash_under(task, crashes.MAX_CRASHES - 1)
    assert not task.job.ended
    fleet.crash_under(task, 1)
    assert task.job.phase is stored.JobPhase.FAILED


def test_crash_on_a_later_worker_of_the_machine_counts(fleet):
    task = fleet.add_job()
    for number in range(crashes.MAX_CRASHES):
        worker = fleet.boot(f'w{number}', machine='m')
        fleet.start(task, worker)
        fleet.lose(worker)
    fleet.boot('last', machine='m')
    assert task.job.phase is stored.JobPhase.FAILED


def test_crash_before_the_start_was_answered_counts(fleet):
    task = fleet.add_job()
    worker = fleet.boot('w1', machine='m')
    fleet.start(task, worker, runs.RunPhase.UNSETTLED)
    fleet.lose(worker)
    fleet.boot('w2', machine='m')
    assert task.suspected


def test_worker_that_stays_away_counts_as_crashed(fleet):
    task = fleet.add_job()
    worker = fleet.boot('w1')
    fleet.start(task, worker)
    fleet.lose(worker)
    fleet.registry.unregister('w1')
    fleet.clock.advance(9)
    fleet.registry.release_expired_runs(worker)
    assert task.suspected


def test_cut_off_workers_count_as_crashed(fleet):
    """Guards against a job that fails since its workers were cut off."""
    task = fleet.add_job()
    for number in range(crashes.MAX_CRASHES):
        worker = fleet.boot(f'w{number}')
        fleet.start(task, worker)
        _cut_off(fleet, worker)
    assert not task.job.ended


def test_end_after_a_loss_counts_as_a_crash(fleet):
    """Guards against a suspicion of a task whose worker goes on."""
    task = fleet.add_job()
    run = fleet.start(task, fleet.boot('w1'))
    _cut_off(fleet, run.worker)
    lapsed = reports.EndReport(1, run.run_id, reports.EndKind.LAPSED, '')
    status = dataclasses.replace(_status(run, ended=True), ended=(lapsed,))
    fleet.reconciler.reconcile(run.worker, status, fleet.clock.monotonic_s())
    assert not task.suspected


def test_crash_after_the_lease_is_proven(fleet):
    """Guards against a job that fails for runs that had lapsed before."""
    task = fleet.add_job()
    for _ in range(crashes.MAX_CRASHES):
        run = fleet.start(task, fleet.boot('w'))
        fleet.lose(run.worker)
        fleet.clock.advance(workers.LEASE_S + 1)
        fleet.boot('w')
    assert not task.job.ended


def test_crash_is_forgotten_if_the_address_passed_on(fleet):
    """Guards against a crashing task that is started without a limit."""
    task = fleet.add_job()
    for number in range(crashes.MAX_CRASHES):
        worker = fleet.boot(f'w{number}')
        fleet.start(task, worker)
        fleet.lose(worker)
        fleet.clock.advance(3)
        fleet.registry.end(worker)
    assert task.job.phase is stored.JobPhase.FAILED


def test_loss_noticed_late_is_proven(fleet):
    """Guards against a job that fails for workers cut off before they crash."""
    task = fleet.add_job()
    for _ in range(crashes.MAX_CRASHES):
        run = fleet.start(task, fleet.boot('w'))
        fleet.crash(run.worker, after_s=2 * crashes.SURVIVAL_S)
    assert not task.job.ended


def test_job_fails_where_workers_crash_all_the_time(fleet):
    """A worker then crashes soon after a start whatever it runs."""
    for number in range(crashes.MASS_LOSS - 1):
        fleet.crash_soon(f'w{number}', fleet.add_job(f'j{number}'), times=3)
    task = fleet.add_job()
    fleet.crash_soon('w0', task, times=crashes.MAX_CRASHES)
    assert not task.job.ended
    fleet.crash_soon('w0', task, times=crashes.MAX_CRASHES)
    assert task.job.phase is stored.JobPhase.FAILED


def test_failed_run_between_crashes_clears_the_task(fleet):
    task = fleet.add_job()
    fleet.crash_under(task, crashes.MAX_CRASHES - 1)
    run = fleet.start(task, fleet.boot('w'))
    fleet.reconciler.reconcile(
        run.worker, _status(run, ended=True), fleet.clock.monotonic_s()
    )
    fleet.crash_under(task, 1)
    assert not task.job.ended


def test_lasting_task_that_lost_many_workers_goes_on(fleet):
    task = fleet.add_job(lasting=True)
    for _ in range(MAX_STARTS):
        run = fleet.start(task, fleet.boot('w'))
        fleet.clock.advance(60)
        fleet.reconciler.reconcile(
            run.worker, _status(run), fleet.clock.monotonic_s()
        )
        fleet.crash(run.worker)
    assert not task.job.ended
    assert not task.suspected


def test_lasting_task_is_given_up(fleet):
    """Guards against a lasting job that fails; its tasks always restart."""
    task = fleet.add_job(lasting=True)
    fleet.crash_under(task, 2 * crashes.MAX_CRASHES)
    assert not task.job.ended
    assert task.suspected


def test_task_that_went_on_is_suspected_no_more(fleet):
    task = fleet.add_job(lasting=True)
    fleet.crash_under(task, crashes.MAX_CRASHES - 1)
    run = fleet.start(task, fleet.boot('w'))
    fleet.clock.advance(2)
    fleet.reconciler.reconcile(
        run.worker, _status(run), fleet.clock.monotonic_s()
    )
    assert not task.suspected


def test_workers_lost_together_are_not_blamed_on_tasks(fleet):
    lost = [fleet.boot(f'w{number}') for number in range(crashes.MASS_LOSS)]
    started = [fleet.add_job(f'j{number}') for number, _ in enumerate(lost)]
    for worker, task in zip(lost, started, strict=True):
        fleet.start(task, worker)
    fleet.lose(*lost)
    for worker in lost:
        # They return one after another.
        fleet.clock.advance(1)
        fleet.boot(worker.entry.id)
    assert not any(task.suspected for task in started)


def test_tasks_of_a_drained_worker_are_not_blamed(fleet):
    for name in ('draining', 'cordoned'):
        task = fleet.add_job(name)
        worker = fleet.boot(name)
        if name == 'cordoned':
            worker.cordons.add(workers.Cordon.MAINTENANCE)
        if name == 'draining':
            worker.update(dataclasses.replace(worker.entry, draining=True))
        fleet.start(task, worker)
        fleet.crash(worker)
        assert not task.suspected, name


def test_start_that_was_not_carried_out_is_not_blamed(fleet):
    task = fleet.add_job()
    worker = fleet.boot('w1')
    fleet.start(task, worker, runs.RunPhase.WRITING)
    fleet.crash(worker)
    assert not task.suspected
    refused = fleet.add_job('b')
    worker = fleet.boot('w2')
    fleet.cluster.release(fleet.start(refused, worker), 'refused')
    fleet.crash(worker)
    assert not refused.suspected
    late = fleet.add_job('c')
    worker = fleet.boot('w3')
    fleet.lose(worker)
    fleet.clock.advance(0.1)
    fleet.start(late, worker, runs.RunPhase.UNSETTLED)
    fleet.boot('w4', machine='m-w3')
    assert not late.suspected


def test_run_that_is_being_stopped_is_not_blamed(fleet):
    task = fleet.add_job()
    run = fleet.start(task, fleet.boot('w1'), runs.RunPhase.STOPPING)
    fleet.crash(run.worker)
    assert not task.suspected


def test_worker_back_with_the_same_boot_is_not_blamed(fleet):
    task = fleet.add_job()
    run = fleet.start(task, fleet.boot('w1'))
    fleet.lose(run.worker)
    fleet.clock.advance(3)
    fleet.registry.register(run.worker.entry)
    fleet.reconciler.reconcile(
        run.worker, _status(run), fleet.clock.monotonic_s()
    )
    assert task.run is run
    assert not task.suspected
    # Its lease ended meanwhile: it has lost the run, and did not crash.
    fleet.lose(run.worker)
    fleet.clock.advance(9)
    fleet.registry.release_expired_runs(run.worker)
    assert task.run is None
    assert not task.suspected


def test_suspect_is_started_on_the_emptiest_worker(fleet):
    busy, idle = fleet.boot('busy'), fleet.boot('idle')
    neighbour, suspect, other = (fleet.add_job(name) for name in 'abc')
    fleet.start(neighbour, busy)
    suspect.crash_record.record(1)
    reserved = fleet.reserve(busy, idle)
    for task, worker in ((suspect, idle), (other, busy)):
        placed = placing.StepPlacer(task.state, reserved, None).place()
        assert [one.worker for one in placed] == [worker]


def test_suspects_are_started_apart_from_each_other(fleet):
    pool = [fleet.boot(f'w{number}') for number in range(3)]
    step = _suspected_step(fleet.add_job(count=3), crash_count=1)
    placed = placing.StepPlacer(step, fleet.reserve(*pool), None).place()
    assert len({one.worker.entry.id for one in placed}) == len(pool)


def test_suspects_with_one_crash_do_not_wait(fleet):
    worker = fleet.boot('w1')
    step = _suspected_step(fleet.add_job(count=4), crash_count=1)
    placed = placing.StepPlacer(step, fleet.reserve(worker), None).place()
    assert len(placed) == 4


def test_nothing_is_started_beside_an_isolated_task(fleet):
    worker = fleet.boot('w')
    suspect, other = fleet.add_job('a'), fleet.add_job('b')
    _suspected_step(suspect, crash_count=crashes.ISOLATED_CRASHES)
    fleet.start(suspect, worker)
    for count in (0, 1):
        reserved = fleet.reserve(worker)
        placed = placing.StepPlacer(other.state, reserved, None).place()
        assert len(placed) == count
        fleet.clock.advance(crashes.SURVIVAL_S)


def test_suspects_do_not_crash_a_whole_service_at_once(fleet):
    pool = [fleet.boot(f'w{number}') for number in range(6)]
    step = _suspected_step(
        fleet.add_job(count=12), crash_count=crashes.ISOLATED_CRASHES
    )
    placed = placing.StepPlacer(step, fleet.reserve(*pool), None).place()
    assert 0 < len(placed) <= len(pool) / 2
    assert len({one.worker.entry.id for one in placed}) == len(placed)
    for one in placed:
        fleet.start(one.task, one.worker)
        fleet.lose(one.worker)
    fleet.clock.advance(2)
    # The workers that they crashed are still away.
    assert not placing.StepPlacer(step, fleet.reserve(*pool), None).place()


def test_blocked_suspect_does_not_hold_up_its_step(fleet):
    pool = [fleet.boot('w1'), fleet.boot('w2')]
    step = fleet.add_job(count=4).state
    for task in step.tasks[:2]:
        _record_crashes(task, crashes.ISOLATED_CRASHES)
    placed = placing.StepPlacer(step, fleet.reserve(*pool), None).place()
    assert [one.task.id.index for one in placed] == [0, 2, 3]


def test_suspected_gang_starts_whole_on_few_workers(fleet):
    pool = [fleet.boot('w1'), fleet.boot('w2')]
    step = fleet.add_job(count=6, gang=True).state
    _record_crashes(step.tasks[0], crashes.ISOLATED_CRASHES)
    placed = placing.StepPlacer(step, fleet.reserve(*pool), None).place()
    assert len(placed) == 6


def test_repeated_start_of_an_earlier_leader_is_blamed(fleet):
    for job_id, attempt, crashed_attempts, count in (
        ('first', 1, (), 0),
        ('again', 2, (), 1),
        ('suspect', 2, (1,), 2),
    ):
        born_ms = fleet.boot(job_id).entry.born_ms
        known = stored.TaskProgress(
            0,
            0,
            0,
            attempt,
            worker=job_id,
            born_ms=born_ms,
            crashed_attempts=crashed_attempts,
        )
        fleet.loader.add(
            benches.job(job_id), stored.Progress(tasks=(known,)), 1
        )
        fleet.boot(job_id)
        task = fleet.cluster.task(benches.task(job_id))
        assert len(task.crash_record.attempts) == count, job_id


def test_ends_of_leases_at_takeover_are_no_mass_loss(fleet):
    known = [
        stored.TaskProgress(0, 0, 0, 1, worker=f'gone{number}', born_ms=1)
        for number in range(crashes.MASS_LOSS)
    ]
    for number, progress in enumerate(known):
        fleet.loader.add(
            benches.job(f'j{number}'), stored.Progress(tasks=(progress,)), 1
        )
    fleet.clock.advance(9)
    for worker in tuple(fleet.cluster.workers_by_id.values()):
        fleet.registry.release_expired_runs(worker)
    task = fleet.add_job()
    fleet.crash_under(task, 1)
    assert task.suspected


def _cut_off(fleet: fleets.Fleet, worker: workers.Worker) -> None:
    """Cut a worker off until the leases of its runs have ended."""
    fleet.lose(worker)
    fleet.registry.unregister(worker.entry.id)
    fleet.clock.advance(workers.LEASE_S + 1)
    fleet.registry.release_expired_runs(worker)


def _suspected_step(task: tasks.Task, crash_count: int) -> tasks.StepState:
    for member in task.state.tasks:
        _record_crashes(member, crash_count)
    return task.state


def _record_crashes(task: tasks.Task, crash_count: int) -> None:
    for attempt in range(1, crash_count + 1):
        task.crash_record.record(attempt)


def _status(run: runs.Run, ended: bool = False) -> reports.WorkerStatus:
    running = (reports.RunReport(run.run_id, '', 100),)
    ends = (reports.EndReport(1, run.run_id, FAILED, ''),)
    return reports.WorkerStatus(
        clock_s=0,
        born_ms=run.worker.entry.born_ms,
        running=() if ended else running,
        ended=ends if ended else (),
    )


def _crash(bench, worker) -> None:
    bench.add_worker(worker.entry.id, worker.entry.born_ms + 1)


def _has_crashes(bench, count: int) -> bool:
    progress = bench.progress('a')
    if progress is None or not progress.tasks:
        return False
    return len(progress.tasks[0].crashed_attempts) == count


async def _next_running(bench, task: model.TaskId):
    fleet_by_id = bench.workers.by_id
    await waiting.until(
        lambda: any(task in one.running for one in fleet_by_id.values())
    )
    return next(one for one in fleet_by_id.values() if task in one.running)


async def _crash_until_failed(bench, job_id: str) -> int:
    """Crash each worker that runs a task; return how many starts it took."""
    starts = 0
    async with asyncio.timeout(waiting.WAIT_S):
        while bench.phase(job_id) is not stored.JobPhase.FAILED:
            for worker in tuple(bench.workers.by_id.values()):
                if worker.running:
                    starts += 1
                    _crash(bench, worker)
            await asyncio.sleep(0.005)
    return starts


def test_crashed_worker_is_tried_again_and_again(fleet):
    """Guards against a job that fails since the only empty worker flaps."""
    step = fleet.add_job(count=2).state
    suspect = step.tasks[0]
    steady = fleet.boot('steady')
    fleet.start(suspect, fleet.boot('flapping'))
    fleet.crash(fleet.cluster.workers_by_id['flapping'])
    flapping = fleet.cluster.workers_by_id['flapping']
    filling = fleet.start(fleet.add_job('b', room=steady.free), steady)
    assert _workers_by_task(fleet, step, flapping, steady) == {
        step.tasks[1]: flapping
    }
    fleet.cluster.release(filling, 'done')
    placed = _workers_by_task(fleet, step, flapping, steady)
    assert placed[suspect] is steady
    # Without another one it does not wait.
    assert _workers_by_task(fleet, step, flapping)[suspect] is flapping


def test_task_keeps_off_a_worker_that_was_taken_down(fleet):
    worker = fleet.boot('w')
    worker.cordons.add(workers.Cordon.MAINTENANCE)
    assert math.isinf(fleet.boot('w').health.replaced_s)


def test_crash_is_unnoticed_after_a_refused_poll(fleet):
    """It closes the worker before the next boot is found."""
    fleet.registry.end(fleet.boot('w'))
    again = fleet.boot('w')
    assert again.health.replaced_s == fleet.clock.monotonic_s()


def _workers_by_task(
    fleet: fleets.Fleet, step: tasks.StepState, *pool: workers.Worker
) -> dict[tasks.Task, workers.Worker]:
    placed = placing.StepPlacer(step, fleet.reserve(*pool), None).place()
    return {one.task: one.worker for one in placed}


load_tests = functions.loader(
    __name__, {'bench': benches.bench, 'fleet': fleets.fleet}
)
