"""Workers that start again under their ids.

A request names the id of a worker only, so that a later boot may carry it out.
"""

import asyncio
import dataclasses
from collections.abc import Callable
from unittest import mock

import scheduler_bench as benches
import scheduler_fleets as fleets

from jackdawlatch.jobs import stored
from jackdawlatch.policy import crashes
from jackdawlatch.scheduler import calls, reports, runs, workers
from jackdawlatch.telemetry import decisions
from jackdawlatch.testing import functions, waiting

DONE = reports.EndKind.DONE
# Long enough for a few polls and a round of placements.
SETTLED_S = 0.3


def test_logs_do_not_tell_boots_apart(fleet):
    task = fleet.add_job()
    former = fleet.boot('w1')
    fleet.start(task, former)
    lines = _logged(lambda: fleet.registry.find_boot(former, born_ms=9))
    replaced = lines['worker-replaced']
    assert replaced['born'] == former.entry.born_ms
    assert replaced['successor_born'] == 9
    assert replaced['found_by'] == 'poll'
    assert replaced['successor_machine'] == former.entry.machine
    assert replaced['successor_service'] == former.entry.service
    assert lines['released']['born'] == former.entry.born_ms
    assert lines['released']['located']


def test_discarded_ends_are_not_logged(fleet):
    worker = fleet.boot('w1')
    lines = _logged(lambda: _report(fleet, worker, ended=(_end(3),)))
    missing = lines['ends-missing']
    assert (missing['expected'], missing['number']) == (1, 3)


def test_former_registration_replaces_a_living_boot(fleet):
    """A poll may show a boot before the entry of the former one changes."""
    task = fleet.add_job()
    former = fleet.boot('w1')
    fleet.registry.find_boot(former, born_ms=9)
    found = fleet.cluster.workers_by_id['w1']
    run = fleet.start(task, found)
    fleet.registry.register(former.entry)
    assert fleet.cluster.workers_by_id['w1'] is found
    assert task.run is run


async def test_task_starts_on_a_boot_that_is_not_registered(bench):
    """Its room and labels may differ, and without an entry it was not polled."""
    former = bench.add_worker('w1')
    former.lost_starts = asyncio.Event()
    bench.submit(benches.job())
    async with bench.lead() as leader:
        known = leader.cluster.workers_by_id
        await waiting.until(lambda: _phases(known) == {runs.RunPhase.ORDERED})
        entry = dataclasses.replace(former.entry, born_ms=2)
        again = bench.workers.create(entry)
        bench.workers.by_id['w1'] = again
        former.lost_starts.set()
        await waiting.until(lambda: again.token)
        await asyncio.sleep(SETTLED_S)
        assert not again.started_runs
        bench.add_entry(entry)
        await waiting.until(lambda: again.running)
        again.end(benches.task(), DONE)
        await waiting.until(lambda: bench.phase('a') is stored.JobPhase.DONE)


def test_run_of_a_later_boot_is_taken_for_a_former_one(fleet):
    """The later boot may have answered the start, at once."""
    task = fleet.add_job()
    former = fleet.boot('w1')
    run = fleet.cluster.assign(task, former, 1, runs.RunPhase.RUNNING)
    later = fleet.boot('w1')
    assert task.run is run
    _report(fleet, later, running=(_running(run),))
    assert (task.run, run.worker) == (run, later)
    assert run.phase is runs.RunPhase.RUNNING


async def test_answer_of_a_later_boot_confirms_a_start(bench):
    """Its clock is behind the one of the boot that was addressed."""
    former = bench.add_worker('w1')
    async with bench.lead() as leader:
        known = leader.cluster.workers_by_id
        await waiting.until(lambda: 'w1' in known and known['w1'].reachable)
        await asyncio.sleep(SETTLED_S)
        former.answers_polls.clear()
        again = bench.add_worker('w1', 2, registered=False)
        bench.submit(benches.job())
        await waiting.until(lambda: again.running)
        await waiting.until(lambda: known['w1'].entry.born_ms == 2)
        await waiting.until(lambda: _phases(known) == {runs.RunPhase.RUNNING})
        assert len(again.started_runs) == 1


async def test_lost_worker_is_sent_acknowledgements(bench):
    """A later boot would take them for its own ends."""
    worker = bench.add_worker('w1')
    bench.submit(benches.job())
    polls: list[calls.Poll] = []
    poll = bench.workers.poll

    async def record(target, request):
        polls.append(request)
        return await poll(target, request)

    bench.workers.poll = record
    async with bench.lead() as leader:
        await waiting.until(lambda: worker.running)
        worker.end(benches.task(), DONE)
        await waiting.until(lambda: polls[-1].acked)
        worker.down = True
        known = leader.cluster.workers_by_id['w1']
        await waiting.until(lambda: not known.reachable)
        polls.clear()
        await waiting.until(lambda: polls)
        assert not any(one.acked for one in polls)


async def test_poll_that_waited_extends_a_recorded_lease(bench):
    worker = bench.add_worker('w1')
    bench.submit(benches.job())
    extended: list[float] = []
    async with bench.lead() as leader:
        await waiting.until(lambda: worker.running)
        known = leader.cluster.workers_by_id['w1']
        worker.answers_polls.clear()
        await asyncio.sleep(0.3)
        poll = bench.workers.poll

        async def record(target, request):
            if request.lease_s is not None and known.lease.record:
                extended.append(known.lease.end_s - known.lease.record.end_s)
            return await poll(target, request)

        bench.workers.poll = record
        leader._dispatcher._fences.expire(known)
        bench.store.slow_s = 0.6
        polling = asyncio.create_task(
            leader._dispatcher.poll(known, workers.LEASE_S, 0)
        )
        await asyncio.sleep(0.05)
        # Another poll that was in flight gets no answer.
        known.reachable = False
        known.health.silent = True
        await waiting.until(lambda: known.lease.record)
        await asyncio.sleep(1)
        polling.cancel()
    assert not extended, extended


async def test_tasks_are_placed_while_a_token_is_due(bench):
    """Their starts may not be sent: each placement would be undone."""
    worker = bench.add_worker('w1')
    async with bench.lead() as leader:
        known_by_id = leader.cluster.workers_by_id
        await waiting.until(
            lambda: 'w1' in known_by_id and known_by_id['w1'].usable
        )
        known = known_by_id['w1']
        worker.answers_polls.clear()
        # A poll that is under way now is answered later.
        await asyncio.sleep(SETTLED_S)
        leader._dispatcher._fences.expire(known)
        known.reachable = False
        bench.store.slow_s = 9
        answered_s = known.last_poll_s
        worker.answers_polls.set()
        await waiting.until(lambda: known.last_poll_s > answered_s)
        assert not known.usable


def test_run_on_a_later_boot_counts_as_crashed(fleet):
    """Guards against a job that fails though all its runs go on."""
    task = fleet.add_job()
    for attempt in range(1, crashes.MAX_CRASHES + 1):
        run = fleet.cluster.assign(
            task, fleet.boot('w1'), attempt, runs.RunPhase.RUNNING
        )
        later = fleet.boot('w1')
        assert not task.crash_record.proven_attempts
        _report(fleet, later, running=(_running(run),))
        assert not task.suspected
        fleet.cluster.release(run, 'stopped')


def test_run_is_released_before_the_next_boot_answers(fleet):
    """Its start may be carried out late, and get the longest lease."""
    task = fleet.add_job()
    run = fleet.cluster.assign(
        task, fleet.boot('w1'), 1, runs.RunPhase.UNSETTLED
    )
    later = fleet.boot('w1', answers=False)
    fleet.clock.advance(workers.LATE_REQUEST_S)
    fleet.registry.release_expired_runs(later)
    assert task.run is run
    fleet.clock.advance(2 * fleets.LONGEST_LEASE_S)
    fleet.registry.release_expired_runs(later)
    assert not task.run


def test_lease_granted_to_a_former_boot_is_not_counted(fleet):
    """A request with a deadline on another clock gives the longest lease."""
    fleet.boot('w1')
    later = fleet.boot('w1', answers=False)
    _report(fleet, later)
    task = fleet.add_job()
    run = fleet.cluster.assign(task, later, 1, runs.RunPhase.RUNNING)
    fleet.lose(later)
    fleet.clock.advance(fleets.LONGEST_LEASE_S)
    fleet.registry.release_expired_runs(later)
    assert task.run is run
    fleet.clock.advance(fleets.LONGEST_LEASE_S)
    fleet.registry.release_expired_runs(later)
    assert not task.run


def test_removed_boot_comes_back_without_a_lease(fleet):
    """A poll finds it while it is idle; then it registers, and is cut off."""
    former = fleet.boot('w1')
    fleet.registry.find_boot(former, born_ms=9)
    fleet.registry.remove_gone_workers()
    assert not fleet.cluster.workers_by_id
    fleet.born_ms = 8
    later = fleet.boot('w1', answers=False)
    run = _start(fleet, later)
    fleet.clock.advance(workers.LATE_REQUEST_S)
    fleet.registry.release_expired_runs(later)
    assert run.task.run is run
    fleet.clock.advance(2 * fleets.LONGEST_LEASE_S)
    fleet.registry.release_expired_runs(later)
    assert not run.task.run


def test_next_boot_of_a_removed_worker_has_no_lease(fleet):
    former = fleet.boot('w1')
    fleet.registry.unregister('w1')
    fleet.registry.remove_gone_workers()
    later = fleet.boot('w1', answers=False)
    assert later is not former
    run = _start(fleet, later)
    fleet.clock.advance(workers.LATE_REQUEST_S)
    fleet.registry.release_expired_runs(later)
    assert run.task.run is run


def test_worker_that_comes_back_reports_its_ends_again(fleet):
    """Its acknowledged ends are no missing ones."""
    worker = fleet.boot('w1')
    _report(fleet, worker, ended=(_end(1),))
    fleet.registry.unregister('w1')
    fleet.registry.remove_gone_workers()
    again = fleet.registry.register(worker.entry)
    assert again.registered
    lines = _logged(lambda: _report(fleet, again, ended=(_end(2),)))
    assert 'ends-missing' not in lines


def test_unsent_start_moves_to_the_next_boot(fleet):
    task = fleet.add_job()
    run = fleet.cluster.assign(task, fleet.boot('w1'), 1, runs.RunPhase.WRITING)
    later = fleet.boot('w1')
    assert not task.run
    assert run not in later.runs_by_task.values()


def _start(fleet: fleets.Fleet, worker: workers.Worker) -> runs.Run:
    """Let a start without an answer be under way."""
    return fleet.cluster.assign(
        fleet.add_job(), worker, 1, runs.RunPhase.UNSETTLED
    )


def _phases(by_id: dict[str, workers.Worker]) -> set[runs.RunPhase]:
    return {
        run.phase
        for worker in by_id.values()
        for run in worker.runs_by_task.values()
    }


def _logged(change: Callable[[], None]) -> dict[str, dict[str, object]]:
    """Return the last line of each event that a change has logged."""
    with mock.patch.object(decisions.DecisionLog, 'note') as note:
        change()
        return {call.args[0]: call.kwargs for call in note.call_args_list}


def _end(number: int) -> reports.EndReport:
    run_id = calls.RunId(benches.task(), 1)
    return reports.EndReport(number, run_id, DONE, '')


def _running(run: runs.Run) -> reports.RunReport:
    return reports.RunReport(run.run_id, '', 100)


def _report(
    fleet: fleets.Fleet,
    worker: workers.Worker,
    running: tuple[reports.RunReport, ...] = (),
    ended: tuple[reports.EndReport, ...] = (),
) -> None:
    """Apply an answer of a worker to a poll that is sent now."""
    status = reports.WorkerStatus(
        clock_s=0, born_ms=worker.entry.born_ms, running=running, ended=ended
    )
    fleet.reconciler.reconcile(worker, status, fleet.clock.monotonic_s())


load_tests = functions.loader(
    __name__, {'bench': benches.bench, 'fleet': fleets.fleet}
)
