"""Reconciles the reported status of workers with the cluster state."""

from collections.abc import Collection

from jackdawlatch.jobs import model, stored
from jackdawlatch.policy import crashes
from jackdawlatch.scheduler import (
    cluster_state,
    health,
    lateness,
    reports,
    runs,
    tasks,
    unexpected_runs,
    worker_paces,
    workers,
)


class Reconciler:
    """Applies the answers to polls."""

    def __init__(
        self,
        cluster: cluster_state.ClusterState,
        job_lateness: lateness.Lateness,
    ) -> None:
        self._cluster = cluster
        self._lateness = job_lateness
        self._unexpected = unexpected_runs.UnexpectedRuns(cluster)

    def reconcile(
        self,
        worker: workers.Worker,
        status: reports.WorkerStatus,
        requested_s: float,
    ) -> None:
        """Apply the answer to a poll that was sent at ``requested_s``.

        An answer to an earlier poll than the last one applied is ignored.
        """
        if requested_s < worker.last_poll_s:
            return
        worker.last_poll_s = requested_s
        worker.reachable = True
        worker.health.lost_s = None
        worker.health.silent = False
        worker.lease.record_answer(
            self._cluster.dependencies.bounds.lease_s, self._cluster.now_s
        )
        for end in status.ended:
            if end.number > worker.last_end_number:
                self._note_gap(worker, end.number)
                self._apply_end(worker, end)
        reported = set()
        worker.health.unwanted = []
        for report in status.running:
            reported.add(report.run_id.task)
            self._apply_report(worker, report)
        # A run in neither list may be among the ends that were left out.
        if status.complete:
            self._release_absent(worker, reported, requested_s)
        worker_paces.judge(worker, self._cluster)
        self._cluster.on_change()

    def _note_gap(self, worker: workers.Worker, number: int) -> None:
        """Log ends that were discarded before this leader read them."""
        expected = worker.last_end_number + 1
        if number > expected:
            self._cluster.dependencies.log.note(
                'ends-missing',
                worker=worker.entry.id,
                born=worker.entry.born_ms,
                expected=expected,
                number=number,
            )

    def _release_absent(
        self,
        worker: workers.Worker,
        reported: Collection[model.TaskId],
        requested_s: float,
    ) -> None:
        for run in tuple(worker.runs_by_task.values()):
            if run.task.id not in reported and _is_absent(run, requested_s):
                self._expect_late_start(run)
                self._cluster.release(run, 'not-on-worker')
        self._cluster.dependencies.late_starts.confirm(
            worker.entry.id, requested_s
        )

    def _expect_late_start(self, run: runs.Run) -> None:
        """Expect the start that an earlier leader may just have sent."""
        task, entry = run.task.id, run.worker.entry
        late_starts = self._cluster.dependencies.late_starts
        if not run.located and late_starts.inherited.has(
            task, entry.id, entry.born_ms
        ):
            until_s = self._cluster.began_s + workers.LATE_REQUEST_S
            late_starts.bind({(task, entry.id): until_s})

    def _apply_report(
        self, worker: workers.Worker, report: reports.RunReport
    ) -> None:
        run = worker.runs_by_task.get(report.run_id.task)
        if run is None or run.attempt != report.run_id.attempt:
            run = self._unexpected.adopt(worker, report.run_id)
        if run is None:
            self._unexpected.count(worker, report)
        if run is None or run in run.task.state.unwanted_runs:
            self._cluster.on_unwanted_run(worker, report.run_id)
            return
        run.task.job.begun = True
        run.update(report, self._cluster.now_s)
        worker_paces.record_report(run, self._cluster.now_s)
        if run.phase in runs.UNCONFIRMED:
            self._confirm(worker, run)
        health.record_serving(run, self._cluster.now_s)
        record = run.task.crash_record
        if record.suspicious and crashes.survives(run.confirmed_s):
            record.clear()
            self._cluster.dependencies.progress_writer.enqueue(run.task.job)
        if run.task.job.ended and run.phase is runs.RunPhase.RUNNING:
            self._cluster.stop(run)

    def _confirm(self, worker: workers.Worker, run: runs.Run) -> None:
        """Record that a start took effect on this boot of a worker."""
        run.phase = runs.RunPhase.RUNNING
        run.last_progress_s = self._cluster.now_s
        worker.lease.forget(run)
        # It was not lost with an earlier boot.
        run.task.crash_record.withdraw(run.attempt)
        if worker.lease.longest_left_s:
            self._cluster.dependencies.progress_writer.enqueue(run.task.job)

    def _apply_end(
        self, worker: workers.Worker, end: reports.EndReport
    ) -> None:
        acknowledge = worker.track_end(end.number)
        task = self._cluster.task(end.run_id.task)
        if task is None:
            acknowledge()
            return
        task.job.begun = True
        if end.kind is reports.EndKind.DONE and _is_current(task, end):
            self._record_done(task)
        run = worker.runs_by_task.get(task.id)
        if run is not None and run.attempt == end.run_id.attempt:
            worker.drop(run)
            if task.run is run:
                task.release()
        task.state.checkpoints.record(end.run_id, end.checkpoint)
        task.crash_record.withdraw(end.run_id.attempt)
        self._apply_kind(worker, task, end)
        self._cluster.dependencies.log.note(
            'run-ended',
            task=task.id.name,
            attempt=end.run_id.attempt,
            worker=worker.entry.id,
            kind=end.kind.value,
            phase=task.job.phase,
        )
        self._cluster.dependencies.progress_writer.enqueue(
            task.job, acknowledge
        )

    def _record_done(self, task: tasks.Task) -> None:
        self._lateness.record_end(task, self._cluster.now_s)
        worker_paces.record_end(task, self._cluster.now_s)

    def _apply_kind(
        self, worker: workers.Worker, task: tasks.Task, end: reports.EndReport
    ) -> None:
        if end.kind is reports.EndKind.DONE:
            health.record_success(worker)
            self._apply_success(task)
        elif end.kind is reports.EndKind.FAILED:
            health.record_failure(worker, self._cluster.now_s)
            task.avoided_worker = worker.entry.id
            task.crash_record.clear()
            self._apply_failure(task, end.run_id.attempt)

    def _apply_success(self, task: tasks.Task) -> None:
        job = task.job
        if task.done or job.ended:
            return
        # A lasting task is restarted however it ends.
        if task.step.lasting:
            return
        # Another attempt may have been started in the meantime.
        if task.run is not None:
            self._cluster.stop(task.run)
        job.finish_task(task)
        if task.state.done:
            self._lateness.record_step(task.state, job.job.queue)
        if tasks.is_complete(job):
            self._cluster.end_job(job, stored.JobPhase.DONE)

    def _apply_failure(self, task: tasks.Task, attempt: int) -> None:
        # An earlier attempt may be reported after a later one was done.
        if task.step.lasting or task.done:
            return
        job = task.job
        task.failed_attempts.add(attempt)
        failures = job.step_state(
            task.id.occurrence, task.id.step
        ).failed_attempt_count(task)
        if failures >= _max_attempts(job) and not job.ended:
            self._cluster.end_job(job, stored.JobPhase.FAILED)


def _is_current(task: tasks.Task, end: reports.EndReport) -> bool:
    return task.run is not None and task.run.attempt == end.run_id.attempt


def _max_attempts(job: tasks.JobState) -> int:
    """Return how often a task of a job may fail, by the latest configuration."""
    return job.queue.max_attempts if job.queue else job.job.max_attempts


def _is_absent(run: runs.Run, requested_s: float) -> bool:
    """Whether a poll answer without the run proves that it does not exist."""
    if run.phase in runs.STARTED:
        return requested_s > run.last_progress_s
    return (
        run.phase is runs.RunPhase.UNSETTLED
        and run.settled_after_s is not None
        and requested_s > run.settled_after_s
    )
