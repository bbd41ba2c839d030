"""Tasks of which a worker lists a run that was not expected there.

The load is a late start that a later boot of a worker carries out.
"""

import scheduler_fleets as fleets

from jackdawlatch.scheduler import (
    calls,
    placements,
    placing,
    reports,
    runs,
    workers,
)
from jackdawlatch.scheduler import tasks as scheduler_tasks
from jackdawlatch.testing import functions


def test_task_is_placed_beside_an_unwanted_run(fleet):
    task = fleet.add_job()
    fleet.start(task, fleet.boot('w1'))
    stray = fleet.boot('w2')
    _list(fleet, stray, task, attempt=0)
    fleet.cluster.release(task.run, 'stopped')
    assert not _placements(fleet, task, stray)
    _list(fleet, stray)
    assert _placements(fleet, task, stray)


def test_lost_worker_with_an_unwanted_run_is_forgotten(fleet):
    """Guards against a start before the end of its lease."""
    task = fleet.add_job()
    stray = fleet.boot('w2')
    fleet.start(task, fleet.boot('w1'))
    stray.lease.extend(workers.LEASE_S, fleet.clock.monotonic_s())
    _list(fleet, stray, task, attempt=0)
    fleet.cluster.release(task.run, 'stopped')
    fleet.lose(stray)
    fleet.clock.advance(workers.LEASE_S)
    fleet.registry.release_expired_runs(stray)
    assert _unwanted(task)
    fleet.clock.advance(1)
    fleet.registry.release_expired_runs(stray)
    assert not _unwanted(task)


def test_next_leader_does_not_know_an_unwanted_run(fleet):
    task = fleet.add_job()
    fleet.start(task, fleet.boot('w1'))
    stray = fleet.boot('w2')
    _list(fleet, stray, task, attempt=0)
    assert task.progress().worker == 'w1'
    fleet.cluster.release(task.run, 'stopped')
    assert task.progress().worker == 'w2'


def test_start_is_sent_beside_an_unwanted_run(fleet):
    """It may be found while the placement is being written."""
    task = fleet.add_job()
    unsent = fleet.start(task, fleet.boot('w1'), runs.RunPhase.WRITING)
    _list(fleet, fleet.boot('w2'), task, attempt=0)
    assert unsent.obstacle == 'other-run'


def test_start_is_sent_where_an_unwanted_run_is(fleet):
    task = fleet.add_job()
    worker = fleet.boot('w1')
    unsent = fleet.start(task, worker, runs.RunPhase.WRITING)
    _list(fleet, worker, task, attempt=0)
    assert not unsent.unsent
    assert _unwanted(task)


def test_run_on_a_worker_hides_an_unwanted_one(fleet):
    """A start that was sent decides what becomes of both."""
    task = fleet.add_job()
    worker = fleet.boot('w1')
    run = fleet.start(task, worker)
    _list(fleet, worker, task, attempt=0)
    assert task.run is run
    assert not _unwanted(task)


def _list(
    fleet: fleets.Fleet,
    worker: workers.Worker,
    task: scheduler_tasks.Task | None = None,
    attempt: int = 0,
) -> None:
    """Let a worker list an attempt at a task, or nothing, later on."""
    fleet.clock.advance(0.1)
    running = ()
    if task is not None:
        run_id = calls.RunId(task.id, attempt)
        running = (reports.RunReport(run_id, '', 0),)
    status = reports.WorkerStatus(0, worker.entry.born_ms, running, ())
    fleet.reconciler.reconcile(worker, status, fleet.clock.monotonic_s())


def _unwanted(task: scheduler_tasks.Task) -> tuple[runs.Run, ...]:
    return task.state.unwanted_runs.of(task.id)


def _placements(
    fleet: fleets.Fleet, task: scheduler_tasks.Task, *pool: workers.Worker
) -> list[placements.Placement]:
    return placing.StepPlacer(task.state, fleet.reserve(*pool), None).place()


load_tests = functions.loader(__name__, {'fleet': fleets.fleet})
