"""When failures of a task end its job."""

import scheduler_bench as benches
import scheduler_fleets as fleets

from jackdawlatch.jobs import stored
from jackdawlatch.model import records
from jackdawlatch.scheduler import reports, runs, tasks
from jackdawlatch.testing import functions

ATTEMPTS = 3


def test_failure_in_an_unknown_queue_ends_the_job(fleet):
    """Guards against a failed job whose queue the leader doesn't know yet."""
    job = records.replace(benches.job(), queue='added', max_attempts=ATTEMPTS)
    fleet.loader.add(job, None, 0)
    task = fleet.cluster.task(benches.task())
    for _ in range(ATTEMPTS):
        assert not task.job.ended
        _end(fleet, task, reports.EndKind.FAILED)
    assert task.job.phase is stored.JobPhase.FAILED


def test_late_failure_of_a_done_task_ends_the_job(fleet):
    """Guards against a failed job of which every task can be done."""
    task = fleet.add_job(count=2)
    limit = benches.QUEUE.max_attempts
    cut_off = [
        fleet.start(task, fleet.boot(f'w{number}')) for number in range(limit)
    ]
    for run in cut_off:
        fleet.cluster.release(run, 'lease-over')
    _end(fleet, task, reports.EndKind.DONE)
    for run in cut_off:
        _report(fleet, run, reports.EndKind.FAILED)
    assert task.done
    assert not task.job.ended


def _end(fleet: fleets.Fleet, task: tasks.Task, kind: reports.EndKind) -> None:
    """Start a task on a new worker, which reports the end of the run."""
    _report(fleet, fleet.start(task, fleet.boot('w')), kind)


def _report(fleet: fleets.Fleet, run: runs.Run, kind: reports.EndKind) -> None:
    fleet.clock.advance(0.1)
    status = reports.WorkerStatus(
        clock_s=0,
        born_ms=run.worker.entry.born_ms,
        running=(),
        ended=(reports.EndReport(1, run.run_id, kind, ''),),
    )
    fleet.reconciler.reconcile(run.worker, status, fleet.clock.monotonic_s())


load_tests = functions.loader(__name__, {'fleet': fleets.fleet})
