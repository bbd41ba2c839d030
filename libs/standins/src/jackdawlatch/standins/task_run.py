"""One task of a worker's stand-in, from its start on."""

import dataclasses

from jackdawlatch.backends import tasks
from jackdawlatch.standins import commands, executions

NEVER_S = float('inf')


@dataclasses.dataclass
class TaskRun:
    """A task that was started, running or ended.

    ``progress`` and ``fraction`` (of its processors) are from 0 to 1.
    ``expiry_s`` is monotonic time, ``ended_s`` seconds since the epoch.
    """

    task: tasks.Task
    command: commands.Command
    execution: executions.Execution
    expiry_s: float
    progress: float = 0
    fraction: float = 1
    state: tasks.TaskState = tasks.TaskState.RUNNING
    ended_s: float = 0
    reason: str = ''

    @property
    def runs(self) -> bool:
        """Whether it has not ended."""
        return self.state is tasks.TaskState.RUNNING

    @property
    def processors(self) -> float:
        """How many processors it would use if enough were free."""
        use = self.command.processors
        wanted = self.task.processors if use is None else use
        return wanted * self.fraction

    @property
    def memory_mb(self) -> float:
        """How much memory it actually uses."""
        memory = self.command.memory_mb
        return self.task.memory_mb if memory is None else memory

    @property
    def reserved_processors(self) -> float:
        """How many processors are reserved for it."""
        return self.task.processors * self.fraction

    def completion_s(self, now_s: float, speed: float) -> float:
        """Return when it will be done at a speed, 1 being full speed."""
        rate = speed * self.fraction
        if rate <= 0:
            return NEVER_S
        return now_s + (1 - self.progress) * self.command.run_s / rate

    def advance(self, seconds: float, speed: float) -> None:
        """Make progress for a time at a speed, 1 being full speed."""
        if self.command.run_s > 0:
            done = seconds * speed * self.fraction / self.command.run_s
            self.progress = min(1, self.progress + done)

    def report(self) -> tasks.TaskReport:
        """Return its state as the worker reports it."""
        checkpointed = self.state is tasks.TaskState.CHECKPOINTED
        return tasks.TaskReport(
            id=self.task.id,
            state=self.state,
            processors=self.processors if self.runs else 0,
            memory_mb=self.memory_mb if self.runs else 0,
            progress=self.progress,
            checkpoint=repr(self.progress) if checkpointed else '',
            ended_s=self.ended_s,
            reason=self.reason,
        )
