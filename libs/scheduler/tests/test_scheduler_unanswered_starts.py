"""Starts without an answer, on workers that are lost.

The load is a boot that nothing has shown, which carries out a start and is cut
off; its lease is the longest one.
"""

import scheduler_fleets as fleets

from jackdawlatch.scheduler import reports, runs, workers
from jackdawlatch.testing import functions

SHORT_S = 1.0


def test_other_runs_wait_for_an_unanswered_start(fleet):
    """Guards against a slow restart of all tasks of a lost worker."""
    worker = fleet.boot('w1')
    run = fleet.cluster.assign(
        fleet.add_job('a'), worker, 1, runs.RunPhase.RUNNING
    )
    unanswered = _lose_start(fleet, worker)
    fleet.clock.advance(SHORT_S + 0.5)
    fleet.registry.release_expired_runs(worker)
    assert not run.task.run
    assert unanswered.task.run is unanswered
    fleet.clock.advance(fleets.LONGEST_LEASE_S)
    fleet.registry.release_expired_runs(worker)
    assert not unanswered.task.run


def test_run_that_was_found_is_kept_for_long(fleet):
    """An answer shows which boot has it, so that the leases of that one count."""
    worker = fleet.boot('w1')
    run = _lose_start(fleet, worker)
    status = reports.WorkerStatus(
        clock_s=0,
        born_ms=worker.entry.born_ms,
        running=(reports.RunReport(run.run_id, '', 0),),
        ended=(),
    )
    fleet.reconciler.reconcile(worker, status, fleet.clock.monotonic_s())
    assert worker.lease.run_end_s(run) == worker.lease.end_s


def _lose_start(fleet: fleets.Fleet, worker: workers.Worker) -> runs.Run:
    """Let a start get no answer from a worker with a short lease."""
    now_s = fleet.clock.monotonic_s()
    worker.lease.extend(SHORT_S, now_s)
    run = fleet.cluster.assign(
        fleet.add_job('b'), worker, 1, runs.RunPhase.UNSETTLED
    )
    worker.lease.expect_unknown_boot(run, fleets.LONGEST_LEASE_S, now_s)
    fleet.lose(worker)
    return run


load_tests = functions.loader(__name__, {'fleet': fleets.fleet})
