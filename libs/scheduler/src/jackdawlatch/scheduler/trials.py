"""Keeps tasks that may crash their workers apart from other tasks."""

import collections
import itertools
from collections.abc import Callable, Mapping

from jackdawlatch.policy import crashes
from jackdawlatch.scheduler import runs, tasks, workers


class Trials:
    """The workers on which suspected tasks have just been started.

    Other tasks avoid these workers until the task has run for a while.  A task
    that has crashed several workers has its worker to itself until then.

    Suspected tasks keep off workers that have crashed lately, whose next crash
    would tell nothing of the task: an empty one is often such a worker.
    """

    def __init__(
        self,
        candidates_by_service: Mapping[str, list[workers.Worker]],
        now_s: float,
    ) -> None:
        self._tried: collections.Counter[str] = collections.Counter()
        self._closed_by_worker: dict[str, tasks.StepState] = {}
        self._closed_by_service: collections.Counter[str] = (
            collections.Counter()
        )
        self._lost_by_service: collections.Counter[str] = collections.Counter()
        self._workers_by_service = candidates_by_service
        self._now_s = now_s
        for worker in itertools.chain(*candidates_by_service.values()):
            for run in worker.health.suspects:
                self._add(run, now_s)

    def tries(self, worker: workers.Worker) -> bool:
        """Whether a suspected task has just been started on a worker."""
        return self._tried[worker.entry.id] > 0

    def admits(self, worker: workers.Worker, task: tasks.Task) -> bool:
        """Whether a task may be started on a worker, beside its trial."""
        step = self._closed_by_worker.get(worker.entry.id)
        return step is None or (step is task.state and step.step.gang)

    def steady(
        self,
        task: tasks.Task,
        candidates: list[workers.Worker],
        admits: Callable[[workers.Worker], bool],
    ) -> list[workers.Worker]:
        """Return the candidates that have not crashed lately.

        Return all, if the task could run on no other worker that ``admits`` it,
        even once there is room.  Crashes do not end the job of a lasting task, and
        a gang does not wait for single workers.
        """
        if not task.suspected or task.step.lasting or task.step.gang:
            return candidates
        pool = self._workers_by_service.get(task.job.service, ())
        if any(
            self._is_steady(worker)
            and _may_host(worker, task)
            and admits(worker)
            for worker in pool
        ):
            return list(filter(self._is_steady, candidates))
        return candidates

    def is_full(self, task: tasks.Task) -> bool:
        """Whether a suspected task waits until other trials have ended."""
        if not _is_isolated(task):
            return False
        if task.step.gang and task.state in self._closed_by_worker.values():
            return False
        service = task.job.service
        usable = sum(
            worker.usable
            for worker in self._workers_by_service.get(service, ())
        )
        return not crashes.may_isolate(
            usable,
            self._closed_by_service[service],
            self._lost_by_service[service],
        )

    def begin(self, worker: workers.Worker, task: tasks.Task) -> None:
        """Record that a suspected task is started on a worker."""
        name = worker.entry.id
        self._tried[name] += 1
        if _is_isolated(task) and name not in self._closed_by_worker:
            self._closed_by_worker[name] = task.state
            self._closed_by_service[task.job.service] += 1

    def cancel(self, worker: workers.Worker, task: tasks.Task) -> None:
        """Undo ``begin``."""
        name = worker.entry.id
        self._tried[name] -= 1
        if _is_isolated(task) and name in self._closed_by_worker:
            self._closed_by_worker.pop(name)
            self._closed_by_service[task.job.service] -= 1

    def _is_steady(self, worker: workers.Worker) -> bool:
        age_s = self._now_s - worker.health.replaced_s
        return age_s > crashes.RATE_PERIOD_S

    def _add(self, run: runs.Run, now_s: float) -> None:
        if not run.worker.reachable:
            # It may have crashed the worker.
            if _is_isolated(run.task):
                self._lost_by_service[run.task.job.service] += 1
        elif not crashes.survives(run.age_s(now_s)):
            self.begin(run.worker, run.task)


def _may_host(worker: workers.Worker, task: tasks.Task) -> bool:
    """Whether a task could run on a worker without other runs."""
    step = task.step
    fits = worker.entry.room.fits(step.reserved_room)
    return worker.usable and fits and worker.entry.carries(step.required_label)


def _is_isolated(task: tasks.Task) -> bool:
    return crashes.is_isolated(task.state.crash_count(task))
