"""In-memory state of jobs, workers and the runs between them."""

import dataclasses
from collections.abc import Callable

from jackdawlatch.jobs import model, queues, stored
from jackdawlatch.model import clocks
from jackdawlatch.scheduler import (
    calls,
    gone_workers,
    persistence,
    reports,
    runs,
    tasks,
    workers,
)
from jackdawlatch.scheduler import late_starts as starts
from jackdawlatch.scheduler import named_services as services
from jackdawlatch.telemetry import decisions


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Documented limits of the platform, in seconds.

    ``lease_s`` is the longest lease of a worker, ``stop_s`` the longest time
    that stopping a run takes, and ``report_s`` the time between two updates of
    a worker's registration.
    """

    lease_s: float
    stop_s: float
    report_s: float = 0


@dataclasses.dataclass(frozen=True)
class Dependencies:
    """Collaborators of the cluster state."""

    clock: clocks.Clock
    progress_writer: persistence.ProgressWriter
    log: decisions.DecisionLog
    bounds: Bounds
    late_starts: starts.LateStarts = dataclasses.field(
        default_factory=starts.LateStarts
    )
    named_services: services.NamedServices = dataclasses.field(
        default_factory=services.NamedServices
    )


class ClusterState:
    """Jobs and workers by id.

    ``on_change`` is called when tasks may have become ready or capacity free,
    ``on_unwanted_run`` with each run that has to be stopped, and each of
    ``on_new_worker`` with each new boot of a worker.
    """

    def __init__(
        self, dependencies: Dependencies, catalog: queues.Catalog
    ) -> None:
        self.catalog = catalog
        self.jobs_by_id: dict[str, tasks.JobState] = {}
        self.workers_by_id: dict[str, workers.Worker] = {}
        self.gone_workers = gone_workers.GoneWorkers()
        self.lease_records_by_boot: dict[workers.Boot, workers.LeaseRecord] = {}
        self.on_change: Callable[[], None] = _ignore
        self.on_unwanted_run: Callable[[workers.Worker, calls.RunId], None] = (
            _ignore
        )
        self.on_new_worker: tuple[Callable[[workers.Worker], None], ...] = ()
        self.dependencies = dependencies
        self.dependencies.named_services.configure(catalog)
        # No earlier leader extends a lease after this.
        self.began_s = self.now_s

    @property
    def now_s(self) -> float:
        """The monotonic time in seconds."""
        return self.dependencies.clock.monotonic_s()

    def replace_catalog(self, catalog: queues.Catalog) -> None:
        """Replace the configuration, and update all jobs and their teams."""
        self.catalog = catalog
        for job in self.jobs_by_id.values():
            queue = catalog.queues_by_name.get(job.job.queue)
            job.queue = queue or job.queue
            job.claim.account.configure(catalog, job.job.version)
        self.dependencies.named_services.configure(catalog)
        self.on_change()

    def task(self, task_id: model.TaskId) -> tasks.Task | None:
        """Return a task of an accepted job, None if it is not known."""
        job = self.jobs_by_id.get(task_id.job)
        return job.task(task_id) if job else None

    def knows(self, worker: workers.Worker) -> bool:
        """Whether a boot of a worker was neither replaced nor removed."""
        return self.workers_by_id.get(worker.entry.id) is worker

    def add_worker(self, entry: reports.WorkerEntry) -> workers.Worker:
        """Add a boot of a worker, with the record of its lease."""
        worker = self.gone_workers.boot(
            entry, self.dependencies.bounds.lease_s, self.now_s
        )
        record = self.lease_records_by_boot.get(entry.boot)
        if record is not None:
            worker.lease.record = record
            worker.lease.end_s = max(worker.lease.end_s, record.end_s)
        self.workers_by_id[entry.id] = worker
        return worker

    def assign(
        self,
        task: tasks.Task,
        worker: workers.Worker,
        attempt: int,
        phase: runs.RunPhase,
    ) -> runs.Run:
        """Record a new attempt at a task and reserve capacity on its worker."""
        run = runs.Run(task, worker, attempt, phase)
        run.last_progress_s = self.now_s
        run.mark_sent(self.now_s)
        run.checkpoint = task.checkpoint
        task.attempt = attempt
        task.run = run
        task.phase = tasks.TaskPhase.PLACED
        begins = phase is runs.RunPhase.WRITING and not task.checkpoint
        task.started_s = self.now_s if begins else None
        worker.add(run)
        return run

    def release(self, run: runs.Run, reason: str) -> None:
        """Requeue the task of a run that is known not to run."""
        task = run.task
        unwanted = run in task.state.unwanted_runs
        run.worker.drop(run)
        if task.step.gang and run.phase in runs.UNCONFIRMED:
            self._stop_gang(run)
        current = task.run is run
        if current:
            task.release()
        if current or unwanted:
            self.dependencies.progress_writer.enqueue(task.job)
        self.note('released', run, reason)
        self.on_change()

    def stop(self, run: runs.Run) -> None:
        """Stop a run, unless its start was never sent."""
        if run.phase is not runs.RunPhase.WRITING:
            self.on_unwanted_run(run.worker, run.run_id)

    def end_job(self, job: tasks.JobState, phase: stored.JobPhase) -> None:
        """End a job and stop its remaining runs."""
        job.phase = phase
        job.ended_s = self.dependencies.clock.wall_s()
        self.dependencies.progress_writer.enqueue(job)
        self.dependencies.log.note('job-ended', job=job.job.id, phase=phase)
        for run in job.runs():
            self.stop(run)

    def note(self, event: str, run: runs.Run, reason: str) -> None:
        """Write a change of a run to the decision log."""
        self.dependencies.log.note(
            event,
            task=run.task.id.name,
            attempt=run.attempt,
            worker=run.worker.entry.id,
            born=run.worker.entry.born_ms,
            phase=run.phase.value,
            located=run.located,
            age_s=round(run.age_s(self.now_s), 3),
            reason=reason,
        )

    def _stop_gang(self, missing: runs.Run) -> None:
        """Stop the members that would wait for one that did not start."""
        state = missing.task.state
        if missing.attempt <= state.stopped_attempt:
            return
        state.stopped_attempt = missing.attempt
        for member in state.tasks:
            run = member.run
            if run is not None and run.attempt == missing.attempt:
                self.stop(run)


def _ignore(*_arguments: object) -> None:
    """Do nothing: the callback until the leader sets one."""
