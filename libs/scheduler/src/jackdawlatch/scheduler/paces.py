"""The pace of the tasks of a step."""

from jackdawlatch.policy import worker_pace
from jackdawlatch.scheduler import calls


class StepPace:
    """How fast the runs of a step progress, and how often each task stalled.

    ``stalled`` tells whether any task has.  ``by_worker`` compares the workers
    that the runs are on.
    """

    __slots__ = (
        '_by_worker',
        '_elapsed_s',
        '_percents',
        '_stalls_by_index',
        'stalled',
    )

    def __init__(self) -> None:
        self.stalled = False
        self._elapsed_s: float = 0
        self._percents = 0
        # The last attempt that stalled, and how many did.
        self._stalls_by_index: dict[int, tuple[int, int]] = {}
        self._by_worker: worker_pace.StepPaces | None = None

    @property
    def by_worker(self) -> worker_pace.StepPaces:
        """The paces on the workers; most steps wait and have none."""
        if self._by_worker is None:
            self._by_worker = worker_pace.StepPaces()
        return self._by_worker

    @property
    def shown_s(self) -> float:
        """The mean time that a percent took, 0 if none was seen."""
        return self._elapsed_s / self._percents if self._percents else 0

    def record(self, percents: int, elapsed_s: float) -> None:
        """Record the progress of a run between two of its reports."""
        if percents > 0:
            self._percents += percents
            self._elapsed_s += elapsed_s

    def stall_count(self, index: int) -> int:
        """Return how many attempts at a task have stalled."""
        return self._stalls(index)[1]

    def record_stall(self, run_id: calls.RunId) -> None:
        """Count an attempt that stalled, once."""
        index = run_id.task.index
        attempt, count = self._stalls(index)
        if run_id.attempt > attempt:
            self._stalls_by_index[index] = (run_id.attempt, count + 1)
            self.stalled = True

    def restore(self, index: int, count: int) -> None:
        """Set how many attempts have stalled; the last one may go on."""
        self._stalls_by_index[index] = (0, count)
        self.stalled = True

    def _stalls(self, index: int) -> tuple[int, int]:
        return self._stalls_by_index.get(index, (0, 0))
