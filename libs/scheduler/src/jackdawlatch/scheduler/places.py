"""Capacity for the tasks that leave a worker."""

import collections
from collections.abc import Iterable

from jackdawlatch.scheduler import reservations, runs, tasks, workers


class Places:
    """The capacity that the tasks of leaving workers may be moved to.

    That of the tasks which are being stopped is taken already.
    """

    def __init__(
        self,
        known: Iterable[workers.Worker],
        leaving: Iterable[workers.Worker],
        now_s: float,
    ) -> None:
        moving = [
            run for worker in leaving for run in worker.runs_by_task.values()
        ]
        services = {run.task.job.service for run in moving}
        candidates: dict[str, list[workers.Worker]] = {}
        for worker in known:
            if worker.entry.service in services:
                candidates.setdefault(worker.entry.service, []).append(worker)
        self._reservations = reservations.Reservations(candidates, now_s)
        self._counts_by_step: dict[
            tasks.StepState, collections.Counter[workers.Worker]
        ] = {}
        for run in moving:
            if run.phase is runs.RunPhase.STOPPING:
                self.take(run.task)

    def take(self, task: tasks.Task) -> bool:
        """Reserve capacity for a task; return whether there was any."""
        step = task.step
        count_by_worker = self._count_by_worker(task.state)
        for worker in self._reservations.candidates(
            task.job.service, step, late=False
        ):
            if not 0 < step.max_per_worker <= count_by_worker[worker]:
                count_by_worker[worker] += 1
                self._reservations.reserve(worker, step.reserved_room)
                return True
        return False

    def _count_by_worker(
        self, state: tasks.StepState
    ) -> collections.Counter[workers.Worker]:
        """Return how many tasks of a step each worker has or is to get."""
        if state not in self._counts_by_step:
            self._counts_by_step[state] = collections.Counter(
                task.run.worker for task in state.tasks if task.run is not None
            )
        return self._counts_by_step[state]
