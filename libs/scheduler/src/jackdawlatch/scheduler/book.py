"""What the leader believes of jobs and workers, and how news changes it."""

import dataclasses
from collections.abc import Callable

from jackdawlatch.jobs import model, queues, stored
from jackdawlatch.model import clocks
from jackdawlatch.scheduler import clients, ledger, runs, tasks, workers
from jackdawlatch.telemetry import decisions

# Failures of a task of a queue that is no longer configured.
DEFAULT_ATTEMPTS = 1


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
    ``unwanted`` with each run that has to be stopped.
    """

    def __init__(self, parts: Parts, catalog: queues.Catalog) -> None:
        self.catalog = catalog
        self.jobs_by_id: dict[str, tasks.JobState] = {}
        self.workers_by_id: dict[str, workers.Worker] = {}
        self.changed: Callable[[], None] = _ignore
        self.unwanted: Callable[[workers.Worker, clients.RunName], None] = (
            _ignore
        )
        self.parts = parts

    def add_job(
        self, job: model.Job, known: stored.Progress | None, revision: int
    ) -> None:
        """Take an accepted job and what earlier leaders wrote of it."""
        if job.id in self.jobs_by_id:
            return
        state = tasks.JobState(job)
        state.queue = self.catalog.queues_by_name.get(job.queue)
        self.jobs_by_id[job.id] = state
        if known is not None:
            state.revision = revision
            state.restore(known)
            self._restore_runs(state, known)
        self.parts.log.note('job-seen', job=job.id, phase=state.phase)
        self.changed()

    def cancel(self, job_id: str) -> None:
        """End a job at its caller's wish."""
        job = self.jobs_by_id.get(job_id)
        if job is None or job.cancelled:
            return
        job.cancelled = True
        if not job.ended:
            self._end_job(job, stored.JobPhase.CANCELLED)
        self._stop_all(job)

    def take_catalog(self, catalog: queues.Catalog) -> None:
        """Use another version of the configuration."""
        self.catalog = catalog
        for job in self.jobs_by_id.values():
            queue = catalog.queues_by_name.get(job.job.queue)
            job.queue = queue or job.queue
        self.changed()

    def take_entry(self, entry: clients.WorkerEntry) -> workers.Worker:
        """Take a worker's entry; return the worker of that boot."""
        known = self.workers_by_id.get(entry.id)
        if known is not None and known.entry.born_ms == entry.born_ms:
            known.listed = True
            known.update(entry)
            self.changed()
            return known
        worker = workers.Worker(entry)
        self.workers_by_id[entry.id] = worker
        for other in tuple(self.workers_by_id.values()):
            if other is not worker and _succeeds(entry, other.entry):
                self._replace(other, worker)
        if known is not None:
            self._replace(known, worker)
        self.changed()
        return worker

    def take_lists(
        self, worker: workers.Worker, lists: clients.Lists, asked_s: float
    ) -> None:
        """Take a worker's answer to a look that was asked at ``asked_s``."""
        if asked_s < worker.looked_s:
            return
        worker.looked_s = asked_s
        worker.reachable = True
        for end in lists.ended:
            if end.number > worker.seen:
                self._take_end(worker, end)
        reported = set()
        for report in lists.running:
            reported.add(report.name.task)
            self._take_report(worker, report)
        for run in tuple(worker.runs_by_task.values()):
            if run.task.id not in reported and _settled(run, asked_s):
                self.release(run, 'not-on-worker')
        self.changed()

    def expire(self, worker: workers.Worker) -> None:
        """Give up the runs of a worker whose leases have surely ended."""
        if worker.reachable or not worker.runs_by_task:
            return
        slack_s = 2 * self.parts.bounds.stop_s
        if self.parts.clock.monotonic_s() > worker.lease_end_s + slack_s:
            for run in tuple(worker.runs_by_task.values()):
                self.release(run, 'lease-over')

    def release(self, run: runs.Run, reason: str) -> None:
        """Let a run's task wait again; the run is known not to exist."""
        run.worker.drop(run)
        task = run.task
        if task.run is run:
            task.checkpoint = run.checkpoint or task.checkpoint
            task.release(self.parts.clock.monotonic_s())
            self.parts.ledger.mark(task.job)
        self._note('released', run, reason)
        self.changed()

    def _restore_runs(
        self, state: tasks.JobState, known: stored.Progress
    ) -> None:
        now_s = self.parts.clock.monotonic_s()
        for progress in known.tasks:
            task = state.task(
                model.TaskId(
                    state.job.id,
                    progress.occurrence,
                    progress.step,
                    progress.index,
                )
            )
            if task is None or not progress.worker or progress.done:
                continue
            worker = self._worker_of(progress, state.job.service)
            run = runs.Run(
                task, worker, progress.attempt, runs.RunPhase.UNSETTLED
            )
            run.began_s = now_s
            run.settled_after_s = now_s
            task.run = run
            task.phase = tasks.TaskPhase.PLACED
            worker.add(run)

    def _worker_of(
        self, progress: stored.TaskProgress, service: str
    ) -> workers.Worker:
        worker = self.workers_by_id.get(progress.worker)
        if worker is None:
            worker = workers.Worker(
                clients.WorkerEntry(
                    id=progress.worker,
                    born_ms=progress.born_ms,
                    address='',
                    service=service,
                    zone='',
                    machine='',
                    room=model.Room(),
                )
            )
            worker.listed = False
            self.workers_by_id[progress.worker] = worker
        bounds = self.parts.bounds
        worker.extend_lease(bounds.lease_s, self.parts.clock.monotonic_s())
        return worker

    def _replace(self, old: workers.Worker, new: workers.Worker) -> None:
        same_id = old.entry.id == new.entry.id
        if not same_id:
            self.workers_by_id.pop(old.entry.id, None)
        old.listed = False
        old.reachable = False
        for run in tuple(old.runs_by_task.values()):
            if same_id and run.phase is not runs.RunPhase.RUNNING:
                # A late order may still reach the new boot.
                old.drop(run)
                run.worker = new
                run.phase = runs.RunPhase.UNSETTLED
                new.add(run)
            else:
                self.release(run, 'worker-replaced')

    def _take_report(
        self, worker: workers.Worker, report: clients.RunReport
    ) -> None:
        run = worker.runs_by_task.get(report.name.task)
        if run is None or run.attempt != report.name.attempt:
            run = self._adopt(worker, report.name)
        if run is None:
            self.unwanted(worker, report.name)
            return
        run.checkpoint = report.checkpoint or run.checkpoint
        run.percent = report.percent
        run.gauge = report.gauge
        if run.phase in {runs.RunPhase.ORDERED, runs.RunPhase.UNSETTLED}:
            run.phase = runs.RunPhase.RUNNING
            run.began_s = self.parts.clock.monotonic_s()
        if run.task.job.ended and run.phase is runs.RunPhase.RUNNING:
            self.unwanted(worker, report.name)

    def _adopt(
        self, worker: workers.Worker, name: clients.RunName
    ) -> runs.Run | None:
        task = self._task(name.task)
        if task is None or task.job.ended or name.attempt < task.attempt:
            return None
        if task.phase is not tasks.TaskPhase.WAITING:
            return None
        task.attempt = name.attempt
        run = runs.Run(task, worker, name.attempt, runs.RunPhase.RUNNING)
        run.began_s = self.parts.clock.monotonic_s()
        task.run = run
        task.phase = tasks.TaskPhase.PLACED
        worker.add(run)
        self.parts.ledger.mark(task.job)
        self._note('adopted', run, 'running on worker')
        return run

    def _take_end(self, worker: workers.Worker, end: clients.EndReport) -> None:
        cell = worker.await_ack(end.number)

        def acknowledge() -> None:
            cell[0] = True
            worker.advance_acked()

        task = self._task(end.name.task)
        if task is None:
            acknowledge()
            return
        run = worker.runs_by_task.get(task.id)
        if run is not None and run.attempt == end.name.attempt:
            worker.drop(run)
            if task.run is run:
                task.release(self.parts.clock.monotonic_s())
        task.checkpoint = end.checkpoint or task.checkpoint
        self._judge(worker, task, end.kind)
        self.parts.log.note(
            'run-ended',
            task=task.id.name,
            attempt=end.name.attempt,
            worker=worker.entry.id,
            kind=end.kind.value,
            phase=task.job.phase,
        )
        self.parts.ledger.mark(task.job, acknowledge)

    def _judge(
        self, worker: workers.Worker, task: tasks.Task, kind: clients.EndKind
    ) -> None:
        job = task.job
        if kind is clients.EndKind.DONE:
            if task.phase is not tasks.TaskPhase.DONE and not job.ended:
                job.finish_task(task)
                if task.run is not None:
                    self.unwanted(
                        task.run.worker,
                        clients.RunName(task.id, task.run.attempt),
                    )
                if job.ended:
                    self._end_job(job, job.phase)
        elif kind is clients.EndKind.FAILED:
            task.failures += 1
            most = job.queue.max_attempts if job.queue else DEFAULT_ATTEMPTS
            if task.failures >= most and not task.step.lasting:
                if not job.ended:
                    self._end_job(job, stored.JobPhase.FAILED)
                    self._stop_all(job)

    def _end_job(self, job: tasks.JobState, phase: stored.JobPhase) -> None:
        job.phase = phase
        job.ended_s = self.parts.clock.wall_s()
        self.parts.ledger.mark(job)
        self.parts.log.note('job-ended', job=job.job.id, phase=phase)

    def _stop_all(self, job: tasks.JobState) -> None:
        for state in job.steps:
            for task in state.tasks:
                run = task.run
                if run is not None and run.phase is not runs.RunPhase.WRITING:
                    self.unwanted(
                        run.worker, clients.RunName(task.id, run.attempt)
                    )

    def _task(self, task_id: model.TaskId) -> tasks.Task | None:
        job = self.jobs_by_id.get(task_id.job)
        return job.task(task_id) if job else None

    def _note(self, event: str, run: runs.Run, reason: str) -> None:
        self.parts.log.note(
            event,
            task=run.task.id.name,
            attempt=run.attempt,
            worker=run.worker.entry.id,
            reason=reason,
        )


def _succeeds(new: clients.WorkerEntry, old: clients.WorkerEntry) -> bool:
    """Whether ``new`` is a later life of the machine of ``old``."""
    return bool(new.machine) and (
        new.machine == old.machine and new.born_ms > old.born_ms
    )


def _settled(run: runs.Run, asked_s: float) -> bool:
    """Whether a look that lacks the run shows that it does not exist."""
    if run.phase in {runs.RunPhase.RUNNING, runs.RunPhase.STOPPING}:
        return asked_s > run.began_s
    return (
        run.phase is runs.RunPhase.UNSETTLED
        and run.settled_after_s is not None
        and asked_s > run.settled_after_s
    )


def _ignore(*_arguments: object) -> None:
    """Stand in until the other parts are wired."""
