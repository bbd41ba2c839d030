"""Compares what a worker tells with what the book believes."""

from jackdawlatch.jobs import stored
from jackdawlatch.scheduler import (
    book,
    calls,
    judging,
    reports,
    runs,
    tasks,
    workers,
)

# Failures of a task of a queue that is no longer configured.
DEFAULT_ATTEMPTS = 1
ORDERED = frozenset((runs.RunPhase.ORDERED, runs.RunPhase.UNSETTLED))
STARTED = frozenset((runs.RunPhase.RUNNING, runs.RunPhase.STOPPING))


class Reconciler:
    """Takes the answers to looks."""

    def __init__(self, own: book.Book) -> None:
        self._book = own

    def take(
        self, worker: workers.Worker, lists: reports.Lists, asked_s: float
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
                self._book.release(run, 'not-on-worker')
        self._book.changed()

    def _take_report(
        self, worker: workers.Worker, report: reports.RunReport
    ) -> None:
        run = worker.runs_by_task.get(report.name.task)
        if run is None or run.attempt != report.name.attempt:
            run = self._adopt(worker, report.name)
        if run is None:
            self._book.unwanted(worker, report.name)
            return
        run.take(report, self._book.now_s)
        if run.phase in ORDERED:
            run.phase = runs.RunPhase.RUNNING
            run.news_s = self._book.now_s
        if run.task.job.ended and run.phase is runs.RunPhase.RUNNING:
            self._book.stop(run)

    def _adopt(
        self, worker: workers.Worker, name: calls.RunName
    ) -> runs.Run | None:
        """Believe in a run that an order of ours must have started."""
        task = self._book.task(name.task)
        if task is None or task.job.ended or name.attempt < task.attempt:
            return None
        if task.phase is not tasks.TaskPhase.WAITING:
            return None
        run = self._book.assign(
            task, worker, name.attempt, runs.RunPhase.RUNNING
        )
        self._book.parts.ledger.mark(task.job)
        self._book.note('adopted', run, 'running-on-worker')
        return run

    def _take_end(self, worker: workers.Worker, end: reports.EndReport) -> None:
        acknowledge = worker.await_ack(end.number)
        task = self._book.task(end.name.task)
        if task is None:
            acknowledge()
            return
        run = worker.runs_by_task.get(task.id)
        if run is not None and run.attempt == end.name.attempt:
            worker.drop(run)
            if task.run is run:
                task.release()
        task.checkpoint = end.checkpoint or task.checkpoint
        if end.kind is reports.EndKind.DONE:
            judging.finished(worker)
            self._take_done(task)
        elif end.kind is reports.EndKind.FAILED:
            judging.failed(worker, self._book.now_s)
            task.avoided = worker.entry.id
            self._take_failed(task, end.name.attempt)
        self._book.parts.log.note(
            'run-ended',
            task=task.id.name,
            attempt=end.name.attempt,
            worker=worker.entry.id,
            kind=end.kind.value,
            phase=task.job.phase,
        )
        self._book.parts.ledger.mark(task.job, acknowledge)

    def _take_done(self, task: tasks.Task) -> None:
        job = task.job
        if task.phase is tasks.TaskPhase.DONE or job.ended:
            return
        # Another attempt may have been started meanwhile.
        if task.run is not None:
            self._book.stop(task.run)
        job.finish_task(task)
        if job.complete:
            self._book.end_job(job, stored.JobPhase.DONE)

    def _take_failed(self, task: tasks.Task, attempt: int) -> None:
        if task.step.lasting:
            return
        job = task.job
        task.failed_attempts.add(attempt)
        failures = job.step_of(task.id.occurrence, task.id.step).failures_of(
            task
        )
        most = job.queue.max_attempts if job.queue else DEFAULT_ATTEMPTS
        if failures >= most and not job.ended:
            self._book.end_job(job, stored.JobPhase.FAILED)


def _settled(run: runs.Run, asked_s: float) -> bool:
    """Whether a look that lacks the run shows that it does not exist."""
    if run.phase in STARTED:
        return asked_s > run.news_s
    return (
        run.phase is runs.RunPhase.UNSETTLED
        and run.settled_after_s is not None
        and asked_s > run.settled_after_s
    )
