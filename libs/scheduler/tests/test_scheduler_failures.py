"""When failures of a task end its job."""

import scheduler_bench as benches
import scheduler_fleets as fleets

from jackdawlatch.jobs import stored
from jackdawlatch.model import records
from jackdawlatch.scheduler import reports, tasks
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


def _end(fleet: fleets.Fleet, task: tasks.Task, kind: reports.EndKind) -> None:
    """Start a task on a new worker, which reports the end of the run."""
    run = fleet.start(task, fleet.boot('w'))
    fleet.clock.advance(0.1)
    status = reports.WorkerStatus(
        clock_s=0,
        born_ms=run.worker.entry.born_ms,
        running=(),
        ended=(reports.EndReport(1, run.run_id, kind, ''),),
    )
    fleet.reconciler.reconcile(run.worker, status, fleet.clock.monotonic_s())


load_tests = functions.loader(__name__, {'fleet': fleets.fleet})
