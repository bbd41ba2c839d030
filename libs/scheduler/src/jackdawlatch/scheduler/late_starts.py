"""Starts without an answer, which a later boot of their worker may carry out.

A request names the id of a worker only.  The boot that it was sent to can be made
to refuse it; a boot that comes after that one, and cannot be reached, can not.
"""

import math
from collections.abc import Mapping

from jackdawlatch.jobs import model

# How long after it was sent a request without an answer may be carried out.
LATE_REQUEST_S = 12.0

# A task, and the id of the worker that its start was sent to.
Key = tuple[model.TaskId, str]


class InheritedRuns:
    """The boots on which earlier leaders have started runs, by task and id."""

    def __init__(self) -> None:
        self._born_ms_by_key: dict[Key, int] = {}

    def add(self, task: model.TaskId, worker_id: str, born_ms: int) -> None:
        """Add a run that an earlier leader has started on a boot."""
        self._born_ms_by_key[task, worker_id] = born_ms

    def has(self, task: model.TaskId, worker_id: str, born_ms: int) -> bool:
        """Whether an earlier leader has started a run on this very boot."""
        return self._born_ms_by_key.get((task, worker_id)) == born_ms


class LateStarts:
    """The starts without an answer, by worker and task.

    Once the worker has answered another request, the task could start again.  It
    is bound to that worker as long as a later boot may carry out the first start:
    the next run there reaches a boot that refuses the first start, or ends with it.
    The run of a worker that has not answered is kept as its leases require.
    """

    def __init__(self) -> None:
        self.inherited = InheritedRuns()
        self._until_s_by_worker: dict[str, dict[model.TaskId, float]] = {}
        self._workers_by_task: dict[model.TaskId, frozenset[str]] = {}

    def __bool__(self) -> bool:
        """Whether any task is bound to a worker."""
        return bool(self._workers_by_task)

    def until_s_by_key(self) -> dict[Key, float]:
        """Return until when the starts that bind tasks may be carried out."""
        return {
            (task, worker_id): self._until_s_by_worker[worker_id][task]
            for task, worker_ids in self._workers_by_task.items()
            for worker_id in worker_ids
        }

    def of(self, task: model.TaskId) -> frozenset[str]:
        """Return the ids of the workers that a task is bound to."""
        return self._workers_by_task.get(task, frozenset())

    def admits(self, task: model.TaskId, worker_id: str) -> bool:
        """Whether a task may be started on a worker."""
        return not self.of(task) - {worker_id}

    def add(self, task: model.TaskId, worker_id: str, now_s: float) -> None:
        """Add a start whose answer is not waited for any more."""
        until_s_by_task = self._until_s_by_worker.setdefault(worker_id, {})
        until_s_by_task[task] = now_s + LATE_REQUEST_S

    def bind(self, until_s_by_key: Mapping[Key, float]) -> None:
        """Add starts that bind their tasks, or update them."""
        for (task, worker_id), until_s in until_s_by_key.items():
            until_s_by_task = self._until_s_by_worker.setdefault(worker_id, {})
            until_s_by_task[task] = until_s
            self._workers_by_task[task] = self.of(task) | {worker_id}

    def confirm(self, worker_id: str, requested_s: float) -> None:
        """Record that a worker has answered a request.

        What starts had begun until it was sent is listed in the answer.
        """
        self._forget_until(worker_id, requested_s)
        until_s_by_task = self._until_s_by_worker.get(worker_id, {})
        self.bind(
            {
                (task, worker_id): until_s
                for task, until_s in until_s_by_task.items()
                if until_s <= requested_s + LATE_REQUEST_S
            }
        )

    def expire(self, latest_s: float) -> None:
        """Forget the starts that were not carried out after ``latest_s``."""
        for worker_id in tuple(self._until_s_by_worker):
            self._forget_until(worker_id, latest_s)

    def forget(self, worker_id: str) -> None:
        """Forget the starts on a worker that has no later boot."""
        self._forget_until(worker_id, math.inf)

    def _forget_until(self, worker_id: str, latest_s: float) -> None:
        until_s_by_task = self._until_s_by_worker.get(worker_id, {})
        for task, until_s in tuple(until_s_by_task.items()):
            if until_s <= latest_s:
                until_s_by_task.pop(task)
                left = self.of(task) - {worker_id}
                if left:
                    self._workers_by_task[task] = left
                else:
                    self._workers_by_task.pop(task, None)
        if not until_s_by_task:
            self._until_s_by_worker.pop(worker_id, None)
