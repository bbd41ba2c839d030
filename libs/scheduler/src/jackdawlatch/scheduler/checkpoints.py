"""The saved work of the tasks of a step."""

from jackdawlatch.jobs import model
from jackdawlatch.scheduler import calls


class Checkpoints:
    """The newest checkpoint of each task.

    All members of a gang have the same one, since they only work together if
    they resume from the same checkpoint.
    """

    __slots__ = ('_gang', '_saved_by_index')

    def __init__(self, gang: bool) -> None:
        self._gang = gang
        # The attempt that saved the checkpoint, and the checkpoint.
        self._saved_by_index: dict[int, tuple[int, str]] = {}

    def of(self, task: model.TaskId) -> str:
        """Return the checkpoint of a task, empty if nothing was saved."""
        # Most steps save nothing.
        return self._saved(task)[1] if self._saved_by_index else ''

    def record(self, run_id: calls.RunId, checkpoint: str) -> None:
        """Record what a run has saved, unless a later attempt has reported.

        An empty ``checkpoint`` means that it has saved nothing.
        """
        if checkpoint and run_id.attempt >= self._saved(run_id.task)[0]:
            saved = (run_id.attempt, checkpoint)
            self._saved_by_index[self._key(run_id.task)] = saved

    def _saved(self, task: model.TaskId) -> tuple[int, str]:
        return self._saved_by_index.get(self._key(task), (0, ''))

    def _key(self, task: model.TaskId) -> int:
        return 0 if self._gang else task.index
