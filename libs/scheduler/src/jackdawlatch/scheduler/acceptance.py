"""Takes accepted jobs, and the wishes to cancel them, into the book."""

from jackdawlatch.jobs import model, stored
from jackdawlatch.scheduler import book, reports, runs, tasks, workers


class Acceptance:
    """Jobs as they come from the store."""

    def __init__(self, own: book.Book) -> None:
        self._book = own

    def add(
        self, job: model.Job, known: stored.Progress | None, revision: int
    ) -> None:
        """Take an accepted job and what earlier leaders wrote of it."""
        if job.id in self._book.jobs_by_id:
            return
        state = tasks.JobState(job)
        state.queue = self._book.catalog.queues_by_name.get(job.queue)
        self._book.jobs_by_id[job.id] = state
        if known is not None:
            state.revision = revision
            state.restore(known)
            for progress in known.tasks:
                if progress.worker and not progress.done:
                    self._restore_run(state, progress)
        self._book.parts.log.note(
            'job-seen', job=job.id, queue=job.queue, phase=state.phase
        )
        self._book.changed()

    def cancel(self, job_id: str) -> None:
        """End a job at its caller's wish."""
        job = self._book.jobs_by_id.get(job_id)
        if job is None or job.cancelled:
            return
        job.cancelled = True
        if job.ended:
            for run in job.runs():
                self._book.stop(run)
        else:
            self._book.end_job(job, stored.JobPhase.CANCELLED)

    def _restore_run(
        self, state: tasks.JobState, progress: stored.TaskProgress
    ) -> None:
        task = state.task(
            model.TaskId(
                state.job.id,
                progress.occurrence,
                progress.step,
                progress.index,
            )
        )
        if task is None:
            return
        run = self._book.assign(
            task,
            self._worker_of(progress, state.job.service),
            progress.attempt,
            runs.RunPhase.UNSETTLED,
        )
        run.settled_after_s = self._book.now_s

    def _worker_of(
        self, progress: stored.TaskProgress, service: str
    ) -> workers.Worker:
        """Return the worker, which may be none that is listed any more."""
        worker = self._book.workers_by_id.get(progress.worker)
        if worker is None:
            worker = workers.Worker(
                reports.WorkerEntry(
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
            self._book.workers_by_id[progress.worker] = worker
        worker.extend_lease(self._book.parts.bounds.lease_s, self._book.now_s)
        return worker
