"""Penalties of workers whose runs fail."""

import contextlib
import itertools

import test_scheduler_pools as pools_tests

from jackdawlatch.model import records
from jackdawlatch.policy import stalls as policy
from jackdawlatch.scheduler import (
    calls,
    health,
    reconciliation,
    reports,
    runs,
    tasks,
)
from jackdawlatch.testing import functions

POLL_S = 2
RUN_S = 3
# A task of 12 minutes shows its progress in whole percents.
SLOW_PERCENT_S = 7.2
SLOW_RUN_S = 100 * SLOW_PERCENT_S
LATE_S = 4 * SLOW_RUN_S


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


class StallBench(Bench):
    """One worker whose tasks need some time for a percent."""

    def __init__(self) -> None:
        super().__init__()
        self.percent_s = SLOW_PERCENT_S
        self.saves = False
        self.stopped: list[runs.Run] = []
        self.cluster.on_unwanted_run = self._stop
        self._began_s: dict[calls.RunId, float] = {}
        self._numbers = itertools.count(1)
        self._ends: list[reports.EndReport] = []
        self._detector = health.StallDetector(self.cluster, lambda: True)

    def add_task(self, estimate_s: float) -> tasks.Task:
        """Accept a job of one task."""
        return self.add_job(estimate_s).steps[0].tasks[0]

    def add_job(self, estimate_s: float, count: int = 1) -> tasks.JobState:
        """Accept a job of one step."""
        self.submit('slow', count)
        job = self.cluster.jobs_by_id['slow']
        state = job.steps[0]
        state.step = records.replace(state.step, estimate_s=estimate_s)
        return job

    def begin(self, task: tasks.Task) -> None:
        """Start the next attempt at a task."""
        self.cluster.assign(
            task, self.worker, task.attempt + 1, runs.RunPhase.RUNNING
        )
        self._began_s[task.run.run_id] = self.clock.monotonic_s()

    def play(self, task: tasks.Task, seconds: float) -> bool:
        """Start a task again and again; return whether it ended in time."""
        for _ in range(round(seconds / POLL_S)):
            if task.run is None:
                self.begin(task)
            self.watch(POLL_S)
            if task.run is not None and self._percent(task.run) >= 100:
                return True
        return False

    def play_in_terms(self, task: tasks.Task, seconds: float) -> bool:
        """Play with a new leader after each start."""
        for _ in range(round(seconds / POLL_S)):
            if task.run is None:
                self.begin(task)
                task = self._hand_over(task)
            if self.play(task, POLL_S):
                return True
        return False

    def watch(self, seconds: float) -> None:
        """Poll the worker, and look for stalled runs after each answer."""
        for _ in range(round(seconds / POLL_S)):
            self.clock.advance(POLL_S)
            now_s = self.clock.monotonic_s()
            running = tuple(
                reports.RunReport(
                    run.run_id, self._saved(run), self._percent(run)
                )
                for run in self.worker.runs_by_task.values()
                if run not in self.stopped
            )
            ends, self._ends = tuple(self._ends), []
            self._reconciler.reconcile(
                self.worker,
                reports.WorkerStatus(now_s, 1, running, ends),
                now_s,
            )
            self._detector.check()

    def _hand_over(self, task: tasks.Task) -> tasks.Task:
        """Let the next leader restore a running task."""
        self.worker.drop(task.run)
        restored = self.add_task(task.step.estimate_s)
        restored.job.restore(task.job.progress())
        self.cluster.assign(
            restored, self.worker, task.attempt, runs.RunPhase.RUNNING
        )
        return restored

    def _age_s(self, run: runs.Run) -> float:
        return self.clock.monotonic_s() - self._began_s[run.run_id]

    def _percent(self, run: runs.Run) -> int:
        return int(self._age_s(run) / self.percent_s)

    def _saved(self, run: runs.Run) -> str:
        return f'at {self._age_s(run)}' if self.saves else ''

    def _stop(self, worker: object, run_id: object) -> None:
        run = self.worker.runs_by_task[run_id.task]
        run.phase = runs.RunPhase.STOPPING
        self.stopped.append(run)
        self._ends.append(
            reports.EndReport(
                next(self._numbers), run_id, reports.EndKind.STOPPED, ''
            )
        )


@contextlib.contextmanager
def bench():
    """Yield a worker without runs."""
    yield Bench()


@contextlib.contextmanager
def stalls():
    """Yield a worker without runs, for tasks that progress slowly."""
    yield StallBench()


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


def test_slow_task_with_a_rough_estimate_is_stopped(stalls):
    task = stalls.add_task(estimate_s=SLOW_RUN_S / 2.4)
    assert stalls.play(task, SLOW_RUN_S + POLL_S)
    assert not stalls.stopped


def test_slow_task_without_an_estimate_never_ends(stalls):
    task = stalls.add_task(estimate_s=0)
    assert stalls.play(task, LATE_S)
    assert len(stalls.stopped) <= 2


def test_slow_task_is_stopped_again_by_each_leader(stalls):
    task = stalls.add_task(estimate_s=0)
    assert stalls.play_in_terms(task, LATE_S)
    assert len(stalls.stopped) <= 2


def test_tasks_of_a_slow_step_are_all_stopped(stalls):
    """Its first task has shown the pace."""
    job = stalls.add_job(estimate_s=SLOW_RUN_S / 4, count=9)
    first, *others = job.steps[0].tasks
    assert stalls.play(first, LATE_S)
    for task in others:
        stalls.begin(task)
    stalls.percent_s *= 2
    stalls.watch(SLOW_RUN_S)
    assert not stalls.stopped


def test_task_that_saves_its_work_is_stopped(stalls):
    stalls.saves = True
    task = stalls.add_task(estimate_s=0)
    assert stalls.play(task, SLOW_RUN_S + POLL_S)
    assert not stalls.stopped


def test_stalled_task_with_a_short_estimate_is_kept(stalls):
    stalls.percent_s = LATE_S
    task = stalls.add_task(estimate_s=60)
    stalls.begin(task)
    stalls.watch(policy.STALL_S + POLL_S)
    assert len(stalls.stopped) == 1


def test_stalled_task_with_a_huge_estimate_is_kept(stalls):
    stalls.percent_s = LATE_S
    task = stalls.add_task(estimate_s=1e300)
    stalls.begin(task)
    stalls.watch(LATE_S)
    assert stalls.stopped


load_tests = functions.loader(__name__, {'bench': bench, 'stalls': stalls})
