"""Loads accepted jobs and cancellations into the cluster state."""

from collections.abc import Mapping

from jackdawlatch.jobs import model, stored
from jackdawlatch.scheduler import (
    calls,
    cluster_state,
    reports,
    runs,
    tasks,
    team_accounts,
    workers,
)

# Long after the last request for an earlier boot; clocks of hosts may differ.
INHERITED_LEASE_AGE_S = 60.0
MS_PER_S = 1000


class JobLoader:
    """Applies job records of the store to the cluster state."""

    def __init__(
        self,
        cluster: cluster_state.ClusterState,
        start_ends_s: Mapping[calls.RunId, float] | None = None,
    ) -> None:
        """Take the ends of the leases of unanswered starts, by run."""
        self._cluster = cluster
        self._start_ends_s = start_ends_s or {}
        self._accounts = team_accounts.Accounts()

    def add(
        self,
        job: model.Job,
        stored_progress: stored.Progress | None,
        revision: int,
        age_s: float = 0,
    ) -> None:
        """Add a job that was accepted ``age_s`` ago.

        ``stored_progress`` is what earlier leaders stored.
        """
        if job.id in self._cluster.jobs_by_id:
            return
        accepted_s = self._cluster.now_s - age_s
        state = tasks.JobState(
            job, accepted_s, self._accounts.claim(job, self._cluster.catalog)
        )
        state.queue = self._cluster.catalog.queues_by_name.get(job.queue)
        self._cluster.jobs_by_id[job.id] = state
        self._cluster.dependencies.named_services.add(job.service)
        if stored_progress is not None:
            state.revision = revision
            state.restore(stored_progress)
            for progress in stored_progress.tasks:
                if progress.worker and not progress.done:
                    self._restore_run(state, progress)
        self._cluster.dependencies.log.note(
            'job-seen',
            job=job.id,
            queue=job.queue,
            phase=state.phase,
            team=job.team,
            within_share=state.claim.within_share,
        )
        self._cluster.on_change()

    def cancel(self, job_id: str) -> None:
        """Cancel a job on request."""
        job = self._cluster.jobs_by_id.get(job_id)
        if job is None or job.cancelled:
            return
        job.cancelled = True
        if job.ended:
            for run in job.runs():
                self._cluster.stop(run)
        else:
            self._cluster.end_job(job, stored.JobPhase.CANCELLED)

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
        run = self._cluster.assign(
            task,
            self._worker_of(progress, state.job.service),
            progress.attempt,
            runs.RunPhase.UNSETTLED,
        )
        run.settled_after_s = self._cluster.now_s
        starts = self._cluster.dependencies.late_starts
        starts.inherited.add(task.id, progress.worker, progress.born_ms)
        end_s = self._start_ends_s.get(run.run_id)
        if end_s is not None:
            run.worker.lease.unanswered_end_s_by_run[run] = end_s

    def _worker_of(
        self, progress: stored.TaskProgress, service: str
    ) -> workers.Worker:
        """Return the worker of a run, which may be registered no longer."""
        worker = self._cluster.workers_by_id.get(progress.worker)
        if worker is None:
            worker = self._cluster.add_worker(
                reports.WorkerEntry(
                    id=progress.worker,
                    born_ms=progress.born_ms,
                    address='',
                    service=service,
                    zone='',
                    machine=progress.machine,
                    room=model.Room(),
                )
            )
            worker.registered = False
        end_s = worker.lease.end_s
        recorded = worker.lease.record is not None
        began_s = self._cluster.began_s
        longest_s = self._cluster.dependencies.bounds.lease_s
        if worker.entry.born_ms != progress.born_ms:
            worker.lease.expect_late_requests(longest_s, began_s)
        elif not recorded:
            worker.lease.extend(workers.granted_lease_s(longest_s), began_s)
            worker.lease.end_s = max(
                worker.lease.end_s, began_s + self._inherited_lease_s(progress)
            )
        if worker.lease.end_s > end_s or not worker.runs_by_task:
            self._cluster.dependencies.log.note(
                'lease-assumed',
                worker=worker.entry.id,
                left_s=round(worker.lease.end_s - self._cluster.now_s, 3),
                recorded=recorded,
            )
        return worker

    def _inherited_lease_s(self, progress: stored.TaskProgress) -> float:
        wall_s = self._cluster.dependencies.clock.wall_s()
        age_s = wall_s - progress.born_ms / MS_PER_S
        return progress.lease_left_s if age_s < INHERITED_LEASE_AGE_S else 0
