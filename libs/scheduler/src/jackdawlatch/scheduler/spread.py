"""How the tasks of one step are spread over workers."""

from collections.abc import Iterable

from jackdawlatch.scheduler import tasks, workers


class Spread:
    """Counts the tasks of a step by worker, at most ``max_per_worker`` each."""

    def __init__(self, max_per_worker: int) -> None:
        self._max_per_worker = max_per_worker
        # A counter takes long to create, and most steps place no task.
        self._counts_by_worker: dict[str, int] = {}

    def add_runs(self, step_tasks: Iterable[tasks.Task]) -> None:
        """Count the tasks that have a run."""
        for task in step_tasks:
            if task.run is not None:
                self.add(task.run.worker)

    def add(self, worker: workers.Worker) -> None:
        """Count one more task on a worker."""
        self._counts_by_worker[worker.entry.id] = self._count(worker) + 1

    def remove(self, worker: workers.Worker) -> None:
        """Count one task less on a worker."""
        self._counts_by_worker[worker.entry.id] = self._count(worker) - 1

    def admits(self, worker: workers.Worker) -> bool:
        """Whether a worker may run one more task of the step."""
        limit = self._max_per_worker
        return not limit or self._count(worker) < limit

    def _count(self, worker: workers.Worker) -> int:
        return self._counts_by_worker.get(worker.entry.id, 0)
