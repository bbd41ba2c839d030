"""Takes over or holds runs that workers list though none was placed there."""

from jackdawlatch.scheduler import (
    calls,
    cluster_state,
    reports,
    runs,
    tasks,
    workers,
)


class UnexpectedRuns:
    """Runs that late or earlier requests have begun."""

    def __init__(self, cluster: cluster_state.ClusterState) -> None:
        self._cluster = cluster

    def adopt(
        self, worker: workers.Worker, run_id: calls.RunId
    ) -> runs.Run | None:
        """Take over a run that an earlier start request must have begun.

        Return None if the run is not wanted.
        """
        task = self._cluster.task(run_id.task)
        if task is None or task.job.ended or run_id.attempt < task.attempt:
            return None
        if task.phase is not tasks.TaskPhase.WAITING:
            return None
        run = self._cluster.assign(
            task, worker, run_id.attempt, runs.RunPhase.RUNNING
        )
        self._cluster.dependencies.progress_writer.enqueue(task.job)
        self._cluster.note('adopted', run, 'running-on-worker')
        return run

    def count(self, worker: workers.Worker, report: reports.RunReport) -> None:
        """Count a run that has to be stopped towards the quota."""
        task = self._cluster.task(report.run_id.task)
        if task is not None and not self._hold(worker, task, report):
            worker.health.unwanted.append(task)

    def _hold(
        self,
        worker: workers.Worker,
        task: tasks.Task,
        report: reports.RunReport,
    ) -> bool:
        """Let the task of an unwanted run wait for its end.

        Return whether the run holds capacity of the worker from now on.
        """
        if task.done or task.job.ended:
            return False
        present = worker.runs_by_task.get(task.id)
        if present is not None and present.unsent:
            self._cluster.release(present, 'other-run')
        elif present is not None:
            # Answers of the worker settle the start that was sent there.
            return False
        now_s = self._cluster.now_s
        run = runs.Run(
            task, worker, report.run_id.attempt, runs.RunPhase.STOPPING
        )
        run.mark_sent(now_s)
        run.update(report, now_s)
        run.last_progress_s = now_s
        task.state.unwanted_runs.add(run)
        worker.add(run)
        self._cluster.dependencies.progress_writer.enqueue(task.job)
        self._cluster.note('held', run, 'unwanted-run')
        return True
