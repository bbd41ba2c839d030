"""The state that the leader keeps of jobs and their tasks."""

import enum

from jackdawlatch.jobs import model, queues, stored
from jackdawlatch.scheduler import runs


class TaskPhase(enum.Enum):
    """Where a task stands."""

    WAITING = 'waiting'
    PLACED = 'placed'
    DONE = 'done'


class Task:
    """One task; ``run`` is the attempt that may be running.

    ``avoided`` is the worker on which it failed or stood still last.
    """

    __slots__ = (
        'attempt',
        'avoided',
        'checkpoint',
        'failed_attempts',
        'id',
        'job',
        'phase',
        'run',
        'step',
    )

    def __init__(self, task_id: model.TaskId, job: 'JobState') -> None:
        self.id = task_id
        self.job = job
        self.step = job.job.steps[task_id.step]
        self.phase = TaskPhase.WAITING
        self.attempt = 0
        self.avoided = ''
        self.failed_attempts: set[int] = set()
        self.checkpoint = ''
        self.run: runs.Run | None = None

    @property
    def serving(self) -> bool:
        """Whether a lasting task is at work."""
        return self.run is not None and self.run.serving

    def release(self) -> None:
        """Let the task wait for another attempt."""
        self.run = None
        if self.phase is TaskPhase.PLACED:
            self.phase = TaskPhase.WAITING

    def restore(self, known: stored.TaskProgress) -> None:
        """Take over what an earlier leader wrote."""
        self.attempt = known.attempt
        self.failed_attempts = set(known.failed_attempts)
        self.checkpoint = known.checkpoint
        if known.done:
            self.phase = TaskPhase.DONE

    def progress(self) -> stored.TaskProgress:
        """Return the stored form."""
        run = self.run
        return stored.TaskProgress(
            self.id.occurrence,
            self.id.step,
            self.id.index,
            self.attempt,
            tuple(sorted(self.failed_attempts)),
            self.phase is TaskPhase.DONE,
            run.worker.entry.id if run else '',
            run.worker.entry.born_ms if run else 0,
            self.checkpoint,
        )


class StepState:
    """The tasks of one step of one occurrence."""

    __slots__ = ('done_count', 'occurrence', 'step', 'tasks')

    def __init__(self, occurrence: int, step: model.Step) -> None:
        self.occurrence = occurrence
        self.step = step
        self.tasks: list[Task] = []
        self.done_count = 0

    def failures_of(self, task: Task) -> int:
        """Return how many attempts failed; those of a gang are its own."""
        if not self.step.gang:
            return len(task.failed_attempts)
        return len(set().union(*(one.failed_attempts for one in self.tasks)))

    @property
    def done(self) -> bool:
        """Whether every task has ended as done."""
        return self.done_count >= self.step.count

    def away(self) -> int:
        """Return how many lasting tasks are not at work."""
        return sum(not task.serving for task in self.tasks)


class JobState:
    """An accepted job, as far as it has come."""

    def __init__(self, job: model.Job) -> None:
        self.job = job
        self.phase = stored.JobPhase.QUEUED
        self.cancelled = False
        self.ended_s: float = 0
        self.revision = 0
        self.queue: queues.Queue | None = None
        self.steps: list[StepState] = []
        for occurrence in range(job.occurrences):
            for number, step in enumerate(job.steps):
                self.steps.append(self._step(occurrence, number, step))

    @property
    def ended(self) -> bool:
        """Whether callers are told an end."""
        return self.phase in stored.ENDED

    @property
    def service(self) -> str:
        """The service of the queue, also when it was reconfigured."""
        return self.queue.service if self.queue else self.job.service

    @property
    def complete(self) -> bool:
        """Whether every task of every occurrence is done."""
        return all(state.done for state in self.steps)

    def runs(self) -> list[runs.Run]:
        """Return the attempts that may be running."""
        return [
            task.run
            for state in self.steps
            for task in state.tasks
            if task.run is not None
        ]

    def task(self, task_id: model.TaskId) -> Task | None:
        """Return a task of this job."""
        try:
            found = self.step_of(task_id.occurrence, task_id.step)
            return found.tasks[task_id.index]
        except IndexError:
            return None

    def step_of(self, occurrence: int, number: int) -> StepState:
        """Return a step of an occurrence; raises ``IndexError``."""
        return self.steps[occurrence * len(self.job.steps) + number]

    def ready_steps(self, wall_s: float) -> list[StepState]:
        """Return the steps whose waiting tasks may start."""
        return [
            state
            for state in self.steps
            if not state.done
            and self.job.due_s(state.occurrence) <= wall_s
            and all(
                self.step_of(state.occurrence, number).done
                for number in state.step.after
            )
        ]

    def finish_task(self, task: Task) -> None:
        """Note that a task ended as done; a gang ends together."""
        state = self.step_of(task.id.occurrence, task.id.step)
        together = state.tasks if task.step.gang else [task]
        for member in together:
            if member.phase is not TaskPhase.DONE:
                member.phase = TaskPhase.DONE
                state.done_count += 1

    def restore(self, progress: stored.Progress) -> None:
        """Take over what an earlier leader wrote."""
        self.phase = progress.phase
        self.ended_s = progress.ended_s
        for known in progress.tasks:
            task = self.task(
                model.TaskId(
                    self.job.id, known.occurrence, known.step, known.index
                )
            )
            if task is not None:
                task.restore(known)
        for state in self.steps:
            state.done_count = sum(
                task.phase is TaskPhase.DONE for task in state.tasks
            )

    def progress(self) -> stored.Progress:
        """Return the stored form.

        Of an ended job only the tasks that may still run matter: the next
        leader reads the records of all jobs before it does anything.
        """
        return stored.Progress(
            phase=self.phase,
            ended_s=self.ended_s,
            tasks=tuple(
                task.progress()
                for state in self.steps
                for task in state.tasks
                if task.attempt and (task.run is not None or not self.ended)
            ),
        )

    def _step(
        self, occurrence: int, number: int, step: model.Step
    ) -> StepState:
        state = StepState(occurrence, step)
        state.tasks = [
            Task(model.TaskId(self.job.id, occurrence, number, index), self)
            for index in range(step.count)
        ]
        return state
