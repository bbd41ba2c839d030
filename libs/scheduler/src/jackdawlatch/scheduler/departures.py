"""Moves tasks away from workers that have announced their departure."""

import asyncio
import dataclasses
import functools
import math
from collections.abc import Callable, Coroutine
from typing import Any

from jackdawlatch.policy import departures as policy
from jackdawlatch.scheduler import (
    cluster_state,
    dispatch,
    machine_workers,
    places,
    runs,
    supervision,
    tasks,
    workers,
)

PERIOD_S = 0.1
# How often a worker is asked whether a task that was moved there serves.
REFRESH_S = 0.3


@dataclasses.dataclass(frozen=True)
class Dependencies:
    """Collaborators of the departures."""

    cluster: cluster_state.ClusterState
    dispatcher: dispatch.Dispatcher
    leading: Callable[[], bool]
    spawn: Callable[[Coroutine[Any, Any, None]], Any]


@dataclasses.dataclass(frozen=True)
class _Notice:
    """What a worker announced, and until when it stays at least."""

    remaining_s: float | None
    departure_s: float


class Departures:
    """Stops the runs of leaving workers, which then start elsewhere."""

    def __init__(self, dependencies: Dependencies) -> None:
        self._dependencies = dependencies
        self._cluster = dependencies.cluster
        self._notices_by_worker: dict[workers.Worker, _Notice] = {}
        self._refreshing: set[workers.Worker] = set()
        # A new leader reads notices that workers may have reported before.
        self._report_age_s = dependencies.cluster.dependencies.bounds.report_s

    async def run(self) -> None:
        """Move tasks until cancelled."""
        while True:
            if self._dependencies.leading():
                self._check_workers()
                self._refresh()
            await asyncio.sleep(PERIOD_S)

    def _check_workers(self) -> None:
        known = self._cluster.workers_by_id.values()
        # Those without runs as well: a run may be found there later.
        self._notices_by_worker = {
            worker: self._notice(worker)
            for worker in known
            if worker.entry.draining
        }
        self._report_age_s = 0
        leaving = [one for one in self._notices_by_worker if one.runs_by_task]
        if not leaving:
            return
        free = places.Places(
            known,
            leaving,
            self._cluster.now_s,
            self._cluster.dependencies.late_starts,
        )
        for worker in sorted(leaving, key=self._remaining_s):
            for run in tuple(worker.runs_by_task.values()):
                if run.phase is runs.RunPhase.RUNNING:
                    self._check(run, free)

    def _check(self, run: runs.Run, free: places.Places) -> None:
        remaining_s = self._remaining_s(run.worker)
        held = policy.HeldRun(
            lasting=run.task.step.lasting,
            left_s=self._left_s(run),
            replaceable=_may_move(run.task) and free.take(run.task),
        )
        stop_s = self._cluster.dependencies.bounds.stop_s
        if policy.must_stop(held, remaining_s, stop_s):
            self._cluster.note('evacuated', run, f'{remaining_s:.1f} s left')
            self._dependencies.dispatcher.stop(run.worker, run.run_id)

    def _notice(self, worker: workers.Worker) -> _Notice:
        """Return the known notice of a worker, unless it reports a new one."""
        known = self._notices_by_worker.get(worker)
        remaining_s = worker.entry.remaining_s
        if known is not None and known.remaining_s == remaining_s:
            return known
        if remaining_s is None:
            return _Notice(None, math.inf)
        read_s = self._cluster.now_s
        return _Notice(remaining_s, read_s + remaining_s - self._report_age_s)

    def _remaining_s(self, worker: workers.Worker) -> float:
        notice = self._notices_by_worker[worker]
        return notice.departure_s - self._cluster.now_s

    def _left_s(self, run: runs.Run) -> float:
        if run.task.step.lasting or run.task.started_s is None:
            return math.inf
        return policy.left_s(
            run.age_s(self._cluster.now_s),
            run.age_s(run.last_progress_s),
            run.percent,
        )

    def _refresh(self) -> None:
        """Poll the workers whose answers decide whether more may be stopped.

        The polls that wait for an end would show only later that a task serves.
        """
        blocked = {
            run.task.state
            for worker in self._notices_by_worker
            for run in worker.runs_by_task.values()
            if run.task.step.lasting and not machine_workers.may_stop(run.task)
        }
        due = {
            task.run.worker
            for state in blocked
            for task in state.tasks
            if task.run is not None and _is_starting(task.run)
        }
        for worker in due - self._refreshing:
            if self._cluster.now_s - worker.last_poll_s >= REFRESH_S:
                self._refreshing.add(worker)
                self._dependencies.spawn(
                    supervision.keep_running(
                        functools.partial(self._poll, worker),
                        self._cluster.dependencies.clock.monotonic_s,
                        max_failures=math.inf,
                    )
                )

    async def _poll(self, worker: workers.Worker) -> None:
        await self._dependencies.dispatcher.poll(worker, None, 0)
        self._refreshing.discard(worker)


def _may_move(task: tasks.Task) -> bool:
    """Whether a lasting task may be stopped while its worker stays.

    Tickets of an advised queue may be valid for no other worker.
    """
    advised = task.job.queue is not None and task.job.queue.advised
    return task.step.lasting and not advised and machine_workers.may_stop(task)


def _is_starting(run: runs.Run) -> bool:
    """Whether a lasting task was started, but is not known to serve."""
    running = run.phase is runs.RunPhase.RUNNING
    return running and run.worker.reachable and not run.serving
