"""Suspends workers whose runs fail or stall."""

import asyncio
from collections.abc import Callable

from jackdawlatch.policy import stalls
from jackdawlatch.scheduler import cluster_state, runs, workers

PERIOD_S = 0.25
STALL_PENALTY_S = 4.0
# The first failure may be the task's own; each further one in a row doubles
# the penalty.
FAILURE_PENALTY_S = 0.5
MAX_FAILURE_PENALTY_S = 8.0
# Failures further apart are not in a row.  A worker that fails every run fails
# the next one within this time, even after the longest penalty.
FAILURE_MEMORY_S = 20.0
# A lasting task that has served for this long counts as a successful run.
SERVED_S = 10.0


def record_failure(worker: workers.Worker, now_s: float) -> None:
    """Suspend a worker after a failed run, longer for each one in a row."""
    health = worker.health
    if now_s - health.last_failure_s > FAILURE_MEMORY_S:
        health.consecutive_failures = 0
    penalty_s = FAILURE_PENALTY_S * 2**health.consecutive_failures
    health.consecutive_failures += 1
    health.last_failure_s = now_s
    health.suspend(now_s + min(penalty_s, MAX_FAILURE_PENALTY_S))


def record_success(worker: workers.Worker) -> None:
    """Reset the failure count of a worker after a successful run."""
    worker.health.consecutive_failures = 0


def record_serving(run: runs.Run, now_s: float) -> None:
    """Count a lasting task that has served for a while as a success.

    A task that has served since before the last failure is no sign that other
    tasks succeed again, so its time counts from that failure.
    """
    since_s = max(run.last_progress_s, run.worker.health.last_failure_s)
    if run.task.step.lasting and run.serving and now_s - since_s > SERVED_S:
        record_success(run.worker)


class StallDetector:
    """Stops runs that make no progress, so that they restart elsewhere."""

    def __init__(
        self, cluster: cluster_state.ClusterState, leading: Callable[[], bool]
    ) -> None:
        self._cluster = cluster
        self._leading = leading

    async def run(self) -> None:
        """Check all runs periodically until cancelled."""
        while True:
            await asyncio.sleep(PERIOD_S)
            if self._leading():
                self.check()

    def check(self) -> None:
        """Stop the runs that are stalled now."""
        for worker in tuple(self._cluster.workers_by_id.values()):
            self._check(worker)

    def _check(self, worker: workers.Worker) -> None:
        for run in tuple(worker.runs_by_task.values()):
            if _is_stalled(run, worker.last_poll_s):
                now_s = self._cluster.now_s
                worker.health.suspend(now_s + STALL_PENALTY_S)
                run.task.avoided_worker = worker.entry.id
                run.task.state.pace.record_stall(run.run_id)
                self._cluster.note('stalled', run, f'{run.percent} percent')
                self._cluster.stop(run)


def _is_stalled(run: runs.Run, last_poll_s: float) -> bool:
    if (
        run.phase is not runs.RunPhase.RUNNING
        or run.pace_percent < runs.FULL_PACE_PERCENT
    ):
        return False
    # Lasting tasks report no progress, and a gang waits for its last member.
    if run.task.step.lasting or run.task.step.gang:
        return False
    # Most runs progress with each poll.
    if last_poll_s - run.last_progress_s <= stalls.STALL_S:
        return False
    step_pace = run.task.state.pace
    tolerated_s = stalls.tolerated_s(
        stalls.Pace(
            run.task.step.estimate_s,
            step_pace.shown_s,
            step_pace.stall_count(run.task.id.index),
        )
    )
    return last_poll_s - run.last_advance_s > tolerated_s
