"""The state of jobs and their tasks."""

import enum
import functools

from jackdawlatch.jobs import model, queues, stored
from jackdawlatch.scheduler import (
    calls,
    checkpoints,
    crash_record,
    paces,
    runs,
    team_accounts,
    unwanted_runs,
    workers,
)


class TaskPhase(enum.Enum):
    """The phase of a task."""

    WAITING = 'waiting'
    PLACED = 'placed'
    DONE = 'done'


class Task:
    """One task; ``run`` is the attempt that may be running.

    ``avoided_worker`` is the id of the worker on which it last failed or
    stalled.  ``started_s`` is the monotonic time at which this leader placed
    the run; None if it took the run over, or resumed it from a checkpoint.
    """

    __slots__ = (
        'attempt',
        'avoided_worker',
        'crash_record',
        'failed_attempts',
        'id',
        'job',
        'run',
        'started_s',
        'state',
        '_phase',
    )

    def __init__(
        self, task_id: model.TaskId, job: 'JobState', state: 'StepState'
    ) -> None:
        self.id = task_id
        self.job = job
        self.state = state
        self._phase = TaskPhase.WAITING
        state.waiting_count += 1
        self.attempt = 0
        self.avoided_worker = ''
        self.failed_attempts: set[int] = set()
        self.run: runs.Run | None = None
        self.started_s: float | None = None
        self.crash_record = crash_record.CrashRecord()

    @property
    def phase(self) -> TaskPhase:
        """The phase; its step counts the tasks that wait."""
        return self._phase

    @phase.setter
    def phase(self, phase: TaskPhase) -> None:
        self.state.waiting_count += (phase is TaskPhase.WAITING) - (
            self._phase is TaskPhase.WAITING
        )
        self._phase = phase

    @property
    def step(self) -> model.Step:
        """The step that this task belongs to."""
        return self.state.step

    @property
    def checkpoint(self) -> str:
        """What the next run resumes from, empty if nothing was saved."""
        return self.state.checkpoints.of(self.id)

    @property
    def done(self) -> bool:
        """Whether the task, or its gang, has ended as done."""
        return self.phase is TaskPhase.DONE

    @property
    def serving(self) -> bool:
        """Whether a lasting task is up and serving."""
        return self.run is not None and self.run.serving

    @property
    def suspected(self) -> bool:
        """Whether the task, or its gang, may crash its workers."""
        if self.step.gang:
            return self.state.crash_count(self) > 0
        return self.crash_record.suspicious

    def release(self) -> None:
        """Put the task back to waiting, unless it is done."""
        self.run = None
        if self.phase is TaskPhase.PLACED:
            self.phase = TaskPhase.WAITING

    def restore(self, stored_progress: stored.TaskProgress) -> None:
        """Restore the progress that an earlier leader stored."""
        self.attempt = stored_progress.attempt
        self.failed_attempts = set(stored_progress.failed_attempts)
        # The attempt that saved it is not stored; any later report replaces it.
        self.state.checkpoints.record(
            calls.RunId(self.id, 0), stored_progress.checkpoint
        )
        for attempt in stored_progress.crashed_attempts:
            self.crash_record.record(
                attempt, attempt in stored_progress.proven_crashes
            )
        if stored_progress.stalls:
            self.state.pace.restore(self.id.index, stored_progress.stalls)
        if stored_progress.done:
            self.phase = TaskPhase.DONE

    def progress(self) -> stored.TaskProgress:
        """Return the stored form."""
        # The next leader must not start the task beside an unwanted run either.
        run = self.run or next(iter(self.state.unwanted_runs.of(self.id)), None)
        # Built for each task of a job with each write: few crash or stall.
        crashed: tuple[int, ...] = ()
        proven: tuple[int, ...] = ()
        if self.crash_record.suspicious:
            crashed = tuple(sorted(self.crash_record.attempts))
            proven = tuple(sorted(self.crash_record.proven_attempts))
        pace = self.state.pace
        stalls = pace.stall_count(self.id.index) if pace.stalled else 0
        return stored.TaskProgress(
            self.id.occurrence,
            self.id.step,
            self.id.index,
            self.attempt,
            tuple(sorted(self.failed_attempts)),
            self.done,
            run.worker.entry.id if run else '',
            run.worker.entry.born_ms if run else 0,
            self.checkpoint,
            run.worker.entry.machine if run else '',
            crashed_attempts=crashed,
            proven_crashes=proven,
            stalls=stalls,
            lease_left_s=workers.inherited_lease_s(run.worker) if run else 0,
        )


class StepState:
    """The tasks of one step in one occurrence of a job.

    ``longest_run_s`` is the time that the longest of its done tasks took, 0
    if none is known.  ``stopped_attempt`` is the last one at a gang that was
    stopped, since a member did not start.  ``unwanted_runs`` are other runs of
    the tasks, beside which these are not started.  ``waiting_count`` is how many
    tasks wait to be placed.
    """

    __slots__ = (
        'checkpoints',
        'done_count',
        'longest_run_s',
        'occurrence',
        'pace',
        'step',
        'stopped_attempt',
        'tasks',
        'unwanted_runs',
        'waiting_count',
    )

    def __init__(self, occurrence: int, step: model.Step) -> None:
        self.occurrence = occurrence
        self.step = step
        self.checkpoints = checkpoints.Checkpoints(step.gang)
        self.pace = paces.StepPace()
        self.unwanted_runs = unwanted_runs.UnwantedRuns()
        self.tasks: list[Task] = []
        # Counted by the tasks: each round asks every step that is not done.
        self.waiting_count = 0
        self.done_count = 0
        self.longest_run_s: float = 0
        self.stopped_attempt = 0

    def failed_attempt_count(self, task: Task) -> int:
        """Return how many attempts at a task, or at its whole gang, failed."""
        if not self.step.gang:
            return len(task.failed_attempts)
        return len(
            set().union(*(member.failed_attempts for member in self.tasks))
        )

    def crash_count(self, task: Task) -> int:
        """Return after how many starts of a task, or its gang, workers crashed."""
        records = self._crash_records(task)
        return len(set().union(*(one.attempts for one in records)))

    def proven_crash_count(self, task: Task) -> int:
        """Return how many of these crashes are proven."""
        records = self._crash_records(task)
        return len(set().union(*(one.proven_attempts for one in records)))

    @property
    def done(self) -> bool:
        """Whether every task has ended as done."""
        return self.done_count >= self.step.count

    def unavailable_count(self) -> int:
        """Return how many lasting tasks are not serving."""
        return sum(not task.serving for task in self.tasks)

    def _crash_records(self, task: Task) -> list[crash_record.CrashRecord]:
        members = self.tasks if self.step.gang else (task,)
        return [member.crash_record for member in members]


class JobState:
    """An accepted job and its progress.

    ``accepted_s`` is the monotonic time at which it was accepted, as far as
    is known.  ``begun`` tells whether any of its tasks is known to have
    started; a task that was placed may have been refused.  ``claim`` is its
    claim to a share of its team.
    """

    def __init__(
        self,
        job: model.Job,
        accepted_s: float = 0,
        claim: team_accounts.Claim | None = None,
    ) -> None:
        self.job = job
        self.claim = claim or team_accounts.Claim()
        self.accepted_s = accepted_s
        self.phase = stored.JobPhase.QUEUED
        self.begun = False
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
        """Whether the job is in a final phase."""
        return self.phase in stored.ENDED

    @functools.cached_property
    def lasting(self) -> bool:
        """Whether any of its tasks runs until the job is cancelled."""
        return any(step.lasting for step in self.job.steps)

    @property
    def service(self) -> str:
        """The service of the queue, by the current configuration."""
        return self.queue.service if self.queue else self.job.service

    def runs(self) -> list[runs.Run]:
        """Return the attempts that may be running."""
        return [
            task.run
            for state in self.steps
            for task in state.tasks
            if task.run is not None
        ]

    def task(self, task_id: model.TaskId) -> Task | None:
        """Return a task of this job, None if there is no such task."""
        try:
            state = self.step_state(task_id.occurrence, task_id.step)
            return state.tasks[task_id.index]
        except IndexError:
            return None

    def step_state(self, occurrence: int, number: int) -> StepState:
        """Return a step of an occurrence; raises ``IndexError``."""
        return self.steps[occurrence * len(self.job.steps) + number]

    def ready_steps(self, wall_s: float) -> list[StepState]:
        """Return the steps whose waiting tasks may start."""
        return [
            state
            for state in self.steps
            if not state.done and _may_start(self, state, wall_s)
        ]

    def finish_task(self, task: Task) -> None:
        """Mark a task as done, or its whole gang."""
        state = self.step_state(task.id.occurrence, task.id.step)
        members = state.tasks if task.step.gang else [task]
        for member in members:
            if not member.done:
                member.phase = TaskPhase.DONE
                state.done_count += 1

    def restore(self, progress: stored.Progress) -> None:
        """Restore the progress that an earlier leader stored."""
        self.phase = progress.phase
        self.ended_s = progress.ended_s
        for stored_progress in progress.tasks:
            task = self.task(
                model.TaskId(
                    self.job.id,
                    stored_progress.occurrence,
                    stored_progress.step,
                    stored_progress.index,
                )
            )
            if task is not None:
                task.restore(stored_progress)
                self.begun = self.begun or _has_started(task)
        for state in self.steps:
            state.done_count = sum(task.done for task in state.tasks)

    def progress(self) -> stored.Progress:
        """Return the stored form.

        For an ended job only the tasks that may still run are stored, since
        the next leader reads the records of all jobs before it starts.
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
            Task(
                model.TaskId(self.job.id, occurrence, number, index),
                self,
                state,
            )
            for index in range(step.count)
        ]
        return state


def _has_started(task: Task) -> bool:
    return task.done or bool(task.failed_attempts) or bool(task.checkpoint)


def waiting_steps(job: JobState, wall_s: float) -> list[StepState]:
    """Return the ready steps of a job that have waiting tasks."""
    return [
        state
        for state in job.steps
        if state.waiting_count and _may_start(job, state, wall_s)
    ]


def is_complete(job: JobState) -> bool:
    """Whether every task of every occurrence of a job is done."""
    return all(state.done for state in job.steps)


def _may_start(job: JobState, state: StepState, wall_s: float) -> bool:
    return job.job.due_s(state.occurrence) <= wall_s and all(
        job.step_state(state.occurrence, number).done
        for number in state.step.after
    )
