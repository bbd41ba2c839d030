"""Penalties of workers whose runs fail."""

import contextlib
import itertools

import test_scheduler_pools as pools_tests

from jackdawlatch.scheduler import health, reconciliation, reports, runs
from jackdawlatch.testing import functions

POLL_S = 2
RUN_S = 3


class Bench(pools_tests.Bench):
    """One worker whose runs fail or serve."""

    def __init__(self) -> None:
        super().__init__()
        self.add_workers('photo', 1)
        self.worker = self.cluster.workers_by_id['photo0']
        self._reconciler = reconciliation.Reconciler(self.cluster, None)

    def fail(self) -> float:
        """Let a run fail; return for how long its worker is suspended."""
        now_s = self.clock.monotonic_s()
        health.record_failure(self.worker, now_s)
        return self.worker.health.suspended_until_s - now_s

    def serve(self) -> None:
        """Start a lasting task."""
        self.submit_lasting('lasting', 'photos', count=1)
        self.start('lasting', 'photo0', 1)

    def poll(self, seconds: float) -> None:
        """Report that all runs go on, for a while."""
        for _ in range(round(seconds / POLL_S)):
            self.clock.advance(POLL_S)
            now_s = self.clock.monotonic_s()
            running = tuple(
                reports.RunReport(run.run_id, '', runs.SERVING_PERCENT)
                for run in self.worker.runs_by_task.values()
            )
            self._reconciler.reconcile(
                self.worker,
                reports.WorkerStatus(now_s, 1, running, ()),
                now_s,
            )


@contextlib.contextmanager
def bench():
    """Yield a worker without runs."""
    yield Bench()


def test_worker_that_fails_every_run_is_kept_suspended(bench):
    penalties_s = []
    for _ in range(8):
        penalties_s.append(bench.fail())
        bench.clock.advance(penalties_s[-1] + RUN_S)
    assert penalties_s[0] == health.FAILURE_PENALTY_S
    assert penalties_s[-1] == health.MAX_FAILURE_PENALTY_S
    assert all(
        later >= earlier for earlier, later in itertools.pairwise(penalties_s)
    )


def test_serving_task_ends_a_row_of_failures(bench):
    for _ in range(4):
        bench.fail()
    bench.serve()
    bench.poll(health.SERVED_S + 2 * POLL_S)
    assert bench.fail() == health.FAILURE_PENALTY_S


def test_task_serving_beside_failures_ends_no_row(bench):
    bench.serve()
    bench.poll(health.SERVED_S + 2 * POLL_S)
    for _ in range(4):
        bench.fail()
        bench.poll(2 * POLL_S)
    assert bench.fail() == health.MAX_FAILURE_PENALTY_S


load_tests = functions.loader(__name__, {'bench': bench})
