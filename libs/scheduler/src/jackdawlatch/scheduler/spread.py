"""How the tasks of one step are spread over workers."""

import collections
from collections.abc import Iterable

from jackdawlatch.scheduler import tasks, workers


class Spread:
    """Counts the tasks of a step by worker, at most ``max_per_worker`` each."""

    def __init__(self, max_per_worker: int) -> None:
        self._max_per_worker = max_per_worker
        self._counts_by_worker: collections.Counter[str] = collections.Counter()

    def add_runs(self, step_tasks: Iterable[tasks.Task]) -> None:
        """Count the tasks that have a run."""
        self._counts_by_worker.update(
            task.run.worker.entry.id
            for task in step_tasks
            if task.run is not None
        )

    def add(self, worker: workers.Worker) -> None:
        """Count one more task on a worker."""
        self._counts_by_worker[worker.entry.id] += 1

    def remove(self, worker: workers.Worker) -> None:
        """Count one task less on a worker."""
        self._counts_by_worker[worker.entry.id] -= 1

    def admits(self, worker: workers.Worker) -> bool:
        """Whether a worker may run one more task of the step."""
        count = self._counts_by_worker[worker.entry.id]
        return not self._max_per_worker or count < self._max_per_worker
