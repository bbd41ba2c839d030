"""The tasks of one worker's stand-in, simulated as discrete events.

Nothing runs between calls: ``advance`` brings the tasks up to the present,
ending each at its own time, in order.
"""

from collections.abc import Callable

from jackdawlatch.backends import tasks
from jackdawlatch.model import clocks, hosts
from jackdawlatch.standins import task_run

# Avoids a division by zero when no task uses a processor.
MIN_PROCESSORS = 1e-9


class TaskTable:
    """Tasks by id; ``ended`` is called with each task that ends."""

    def __init__(
        self,
        capacity: hosts.Capacity,
        clock: clocks.Clock,
        ended: Callable[[task_run.TaskRun], None],
    ) -> None:
        self.capacity = capacity
        self.now_s = clock.monotonic_s()
        self._clock = clock
        self._ended = ended
        self._tasks_by_id: dict[str, task_run.TaskRun] = {}

    def get(self, task_id: str) -> task_run.TaskRun | None:
        """Return a task, running or ended, None if it is unknown."""
        return self._tasks_by_id.get(task_id)

    def everyone(self) -> tuple[task_run.TaskRun, ...]:
        """Return every task, running or ended."""
        return tuple(self._tasks_by_id.values())

    def running_tasks(self) -> tuple[task_run.TaskRun, ...]:
        """Return the tasks that have not ended."""
        return tuple(one for one in self._tasks_by_id.values() if one.runs)

    def fits(self, task: tasks.Task) -> bool:
        """Return whether a task's declared needs fit into what is free."""
        running = self.running_tasks()
        processors = sum(one.reserved_processors for one in running)
        memory_mb = sum(one.task.memory_mb for one in running)
        accelerators = sum(one.task.accelerators for one in running)
        return all(
            (
                processors + task.processors <= self.capacity.processors,
                memory_mb + task.memory_mb <= self.capacity.memory_mb,
                accelerators + task.accelerators <= self.capacity.accelerators,
            )
        )

    def add(self, task: task_run.TaskRun) -> None:
        """Add a task.

        If the tasks then use more memory than there is, the one that exceeds
        its declared memory by the most fails.
        """
        self._tasks_by_id[task.task.id] = task
        used_mb = sum(one.memory_mb for one in self.running_tasks())
        if used_mb > self.capacity.memory_mb:
            worst = max(self.running_tasks(), key=_excess_mb)
            self.end(worst, tasks.TaskState.FAILED, 'out of memory')

    def end(
        self, task: task_run.TaskRun, state: tasks.TaskState, reason: str = ''
    ) -> None:
        """End a task now."""
        task.state = state
        task.reason = reason
        past_s = self._clock.monotonic_s() - self.now_s
        task.ended_s = self._clock.wall_s() - past_s
        self._ended(task)

    def advance(self) -> None:
        """Bring every task up to the present."""
        present_s = self._clock.monotonic_s()
        unfinished = True
        while unfinished:
            unfinished = self._step(present_s)

    def _step(self, present_s: float) -> bool:
        """Advance to the next end of a task, at most to the present.

        Returns whether a task has ended, so that another step is needed.
        """
        wanted = sum(one.processors for one in self.running_tasks())
        # If all together want too many processors, all slow down alike.
        speed = min(1, self.capacity.processors / max(wanted, MIN_PROCESSORS))
        end_s, task = min(
            ((self._end_s(one, speed), one) for one in self.running_tasks()),
            key=_pair_end_s,
            default=(task_run.NEVER_S, None),
        )
        self._advance_to(min(end_s, present_s), speed)
        if task is None or end_s > present_s:
            return False
        self._end_due_task(task)
        return True

    def _end_s(self, task: task_run.TaskRun, speed: float) -> float:
        return min(task.expiry_s, task.completion_s(self.now_s, speed))

    def _advance_to(self, until_s: float, speed: float) -> None:
        for task in self.running_tasks():
            task.advance(until_s - self.now_s, speed)
        self.now_s = max(self.now_s, until_s)

    def _end_due_task(self, task: task_run.TaskRun) -> None:
        if task.expiry_s <= self.now_s:
            self.end(task, tasks.TaskState.EXPIRED, 'the lease ran out')
        elif task.command.outcome == tasks.TaskState.DONE:
            task.progress = 1
            self.end(task, tasks.TaskState.DONE)
        else:
            self.end(task, tasks.TaskState.FAILED, task.command.outcome)


def _excess_mb(task: task_run.TaskRun) -> float:
    return task.memory_mb - task.task.memory_mb


def _pair_end_s(pair: tuple[float, task_run.TaskRun | None]) -> float:
    return pair[0]
