"""Runs that workers list though they were not expected there.

A later boot of a worker may carry out a start long after the leader has given it
up and has started the task elsewhere.
"""

import typing

from jackdawlatch.jobs import model

if typing.TYPE_CHECKING:
    from jackdawlatch.scheduler import runs


class UnwantedRuns:
    """The listed runs of the tasks of a step that are being stopped.

    The leases of their workers go on, so that a task is not started beside them.
    """

    __slots__ = ('_runs_by_index',)

    def __init__(self) -> None:
        self._runs_by_index: dict[int, tuple[runs.Run, ...]] = {}

    def __contains__(self, run: 'runs.Run') -> bool:
        """Whether a run is one of them."""
        return run in self.of(run.task.id)

    def of(self, task: model.TaskId) -> 'tuple[runs.Run, ...]':
        """Return the unwanted runs of a task."""
        # Most steps have none.
        return (
            self._runs_by_index.get(task.index, ())
            if self._runs_by_index
            else ()
        )

    def add(self, run: 'runs.Run') -> None:
        """Add a run that a worker has listed."""
        task = run.task.id
        self._runs_by_index[task.index] = (*self.of(task), run)

    def discard(self, run: 'runs.Run') -> None:
        """Forget a run that has ended."""
        task = run.task.id
        left = tuple(other for other in self.of(task) if other is not run)
        if left:
            self._runs_by_index[task.index] = left
        else:
            self._runs_by_index.pop(task.index, None)
