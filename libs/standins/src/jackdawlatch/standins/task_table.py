"""The tasks of one worker's stand-in, moved through time.

Nothing runs in between: ``advance`` brings the tasks up to the present,
ending each at its own moment, in order.
"""

from collections.abc import Callable

from jackdawlatch.backends import tasks
from jackdawlatch.model import clocks, hosts
from jackdawlatch.standins import running

NO_PROCESSORS = 1e-9


class TaskTable:
    """Tasks by id; ``ended`` is told of each that ends."""

    def __init__(
        self,
        capacity: hosts.Capacity,
        clock: clocks.Clock,
        ended: Callable[[running.Running], None],
    ) -> None:
        self.capacity = capacity
        self.now_s = clock.monotonic_s()
        self._clock = clock
        self._ended = ended
        self._tasks_by_id: dict[str, running.Running] = {}

    def get(self, task_id: str) -> running.Running | None:
        """Return a task, ended ones included."""
        return self._tasks_by_id.get(task_id)

    def everyone(self) -> tuple[running.Running, ...]:
        """Return every task, ended ones included."""
        return tuple(self._tasks_by_id.values())

    def alive(self) -> tuple[running.Running, ...]:
        """Return the tasks that run."""
        return tuple(one for one in self._tasks_by_id.values() if one.runs)

    def fits(self, task: tasks.Task) -> bool:
        """Return whether there is room for a task as declared."""
        alive = self.alive()
        processors = sum(one.held_processors for one in alive)
        memory_mb = sum(one.task.memory_mb for one in alive)
        accelerators = sum(one.task.accelerators for one in alive)
        return all(
            (
                processors + task.processors <= self.capacity.processors,
                memory_mb + task.memory_mb <= self.capacity.memory_mb,
                accelerators + task.accelerators <= self.capacity.accelerators,
            )
        )

    def add(self, task: running.Running) -> None:
        """Add a task, and end one if memory has run out."""
        self._tasks_by_id[task.task.id] = task
        used_mb = sum(one.memory_mb for one in self.alive())
        if used_mb > self.capacity.memory_mb:
            worst = max(self.alive(), key=_excess_mb)
            self.end(worst, tasks.TaskState.FAILED, 'out of memory')

    def end(
        self, task: running.Running, state: tasks.TaskState, reason: str = ''
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
        """Go to the next end of a task, or to the present if none is due."""
        wanted = sum(one.processors for one in self.alive())
        # All are slowed alike when together they want too much.
        speed = min(1, self.capacity.processors / max(wanted, NO_PROCESSORS))
        end_s, task = min(
            ((self._end_s(one, speed), one) for one in self.alive()),
            key=_moment,
            default=(running.FOREVER_S, None),
        )
        self._work_until(min(end_s, present_s), speed)
        if task is None or end_s > present_s:
            return False
        self._settle(task)
        return True

    def _end_s(self, task: running.Running, speed: float) -> float:
        return min(task.expiry_s, task.finish_s(self.now_s, speed))

    def _work_until(self, until_s: float, speed: float) -> None:
        for task in self.alive():
            task.work(until_s - self.now_s, speed)
        self.now_s = max(self.now_s, until_s)

    def _settle(self, task: running.Running) -> None:
        if task.expiry_s <= self.now_s:
            self.end(task, tasks.TaskState.EXPIRED, 'the lease ran out')
        elif task.command.outcome == tasks.TaskState.DONE:
            task.progress = 1
            self.end(task, tasks.TaskState.DONE)
        else:
            self.end(task, tasks.TaskState.FAILED, task.command.outcome)


def _excess_mb(task: running.Running) -> float:
    return task.memory_mb - task.task.memory_mb


def _moment(pair: tuple[float, running.Running | None]) -> float:
    return pair[0]
