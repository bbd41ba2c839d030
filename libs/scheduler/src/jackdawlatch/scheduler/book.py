"""What the leader believes of jobs and workers."""

import dataclasses
from collections.abc import Callable

from jackdawlatch.jobs import model, queues, stored
from jackdawlatch.model import clocks
from jackdawlatch.scheduler import calls, ledger, runs, tasks, workers
from jackdawlatch.telemetry import decisions


@dataclasses.dataclass(frozen=True)
class Bounds:
    """The platform's documented bounds, in seconds.

    ``lease_s`` is the longest lease of a worker, ``stop_s`` how long a stop
    takes at most.
    """

    lease_s: float
    stop_s: float


@dataclasses.dataclass(frozen=True)
class Parts:
    """What the book works with."""

    clock: clocks.Clock
    ledger: ledger.Ledger
    log: decisions.DecisionLog
    bounds: Bounds


class Book:
    """Jobs and workers by id.

    ``changed`` is called when tasks may have become ready or room free,
    ``unwanted`` with each run that has to be stopped, ``doubtful`` with each of
    which it has to be found out whether its order took effect.
    """

    def __init__(self, parts: Parts, catalog: queues.Catalog) -> None:
        self.catalog = catalog
        self.jobs_by_id: dict[str, tasks.JobState] = {}
        self.workers_by_id: dict[str, workers.Worker] = {}
        self.changed: Callable[[], None] = _ignore
        self.unwanted: Callable[[workers.Worker, calls.RunName], None] = _ignore
        self.doubtful: Callable[[runs.Run], None] = _ignore
        self.parts = parts

    @property
    def now_s(self) -> float:
        """The steady time."""
        return self.parts.clock.monotonic_s()

    def take_catalog(self, catalog: queues.Catalog) -> None:
        """Use another version of the configuration."""
        self.catalog = catalog
        for job in self.jobs_by_id.values():
            queue = catalog.queues_by_name.get(job.job.queue)
            job.queue = queue or job.queue
        self.changed()

    def task(self, task_id: model.TaskId) -> tasks.Task | None:
        """Return a task of an accepted job."""
        job = self.jobs_by_id.get(task_id.job)
        return job.task(task_id) if job else None

    def assign(
        self,
        task: tasks.Task,
        worker: workers.Worker,
        attempt: int,
        phase: runs.RunPhase,
    ) -> runs.Run:
        """Note that an attempt at a task may run on a worker."""
        run = runs.Run(task, worker, attempt, phase)
        run.news_s = self.now_s
        run.checkpoint = task.checkpoint
        task.attempt = attempt
        task.run = run
        task.phase = tasks.TaskPhase.PLACED
        worker.add(run)
        return run

    def release(self, run: runs.Run, reason: str) -> None:
        """Let a run's task wait again; the run is known not to exist."""
        run.worker.drop(run)
        task = run.task
        if task.run is run:
            task.checkpoint = run.checkpoint or task.checkpoint
            task.release()
            self.parts.ledger.mark(task.job)
        self.note('released', run, reason)
        self.changed()

    def stop(self, run: runs.Run) -> None:
        """Have a run stopped, unless its order was never given."""
        if run.phase is not runs.RunPhase.WRITING:
            self.unwanted(run.worker, run.name)

    def end_job(self, job: tasks.JobState, phase: stored.JobPhase) -> None:
        """End a job, and stop all that still runs of it."""
        job.phase = phase
        job.ended_s = self.parts.clock.wall_s()
        self.parts.ledger.mark(job)
        self.parts.log.note('job-ended', job=job.job.id, phase=phase)
        for run in job.runs():
            self.stop(run)

    def note(self, event: str, run: runs.Run, reason: str) -> None:
        """Log a change of what is believed of a run."""
        self.parts.log.note(
            event,
            task=run.task.id.name,
            attempt=run.attempt,
            worker=run.worker.entry.id,
            reason=reason,
        )


def _ignore(*_arguments: object) -> None:
    """Stand in until the other parts are wired."""
