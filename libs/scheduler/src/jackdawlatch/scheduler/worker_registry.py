"""Tracks which workers exist, and releases the runs of lost ones."""

from collections.abc import Collection, Iterable

from jackdawlatch.jobs import stored
from jackdawlatch.scheduler import (
    cluster_state,
    crash_blame,
    reports,
    runs,
    tasks,
    workers,
)
from jackdawlatch.telemetry import decisions


class WorkerRegistry:
    """Applies the registrations of workers to the cluster state."""

    def __init__(self, cluster: cluster_state.ClusterState) -> None:
        self._cluster = cluster
        self._crash_blame = crash_blame.CrashBlame(cluster)

    def register(self, entry: reports.WorkerEntry) -> workers.Worker:
        """Add or update a worker; return the state of that boot."""
        by_id = self._cluster.workers_by_id
        known = by_id.get(entry.id)
        if known is not None and known.entry.born_ms == entry.born_ms:
            self._update(known, entry)
            return known
        worker = self._cluster.add_worker(entry)
        self._cluster.on_new_worker(worker)
        for other in tuple(by_id.values()):
            if other is not worker and _is_successor(entry, other.entry):
                self._replace(other, worker)
        if known is not None:
            self._replace(known, worker)
        self._cluster.on_change()
        return worker

    def unregister(self, worker_id: str) -> None:
        """Mark a worker whose entry was deleted."""
        known = self._cluster.workers_by_id.get(worker_id)
        if known is not None:
            self._unregister(known)

    def retain(self, worker_ids: Collection[str]) -> None:
        """Mark every worker without an entry; ``worker_ids`` have one."""
        for known in tuple(self._cluster.workers_by_id.values()):
            if known.entry.id not in worker_ids:
                self._unregister(known)

    def release_expired_runs(self, worker: workers.Worker) -> None:
        """Release the runs of an unreachable worker whose lease has ended."""
        if worker.reachable or not worker.runs_by_task:
            return
        slack_s = 2 * self._cluster.dependencies.bounds.stop_s
        if self._cluster.now_s > worker.lease.end_s + slack_s:
            self._release_all(worker, 'lease-over', ended=False)

    def end(self, worker: workers.Worker) -> None:
        """Release the runs of a boot that is known to have ended."""
        worker.registered = False
        worker.reachable = False
        self._release_all(worker, 'worker-ended', ended=True)

    def remove_gone_workers(self) -> None:
        """Remove the workers that are not registered and have no runs."""
        by_id = self._cluster.workers_by_id
        for worker in tuple(by_id.values()):
            if not worker.registered and not worker.runs_by_task:
                by_id.pop(worker.entry.id)

    def _release_all(
        self, worker: workers.Worker, reason: str, ended: bool
    ) -> None:
        doomed: list[tasks.JobState] = []
        if not worker.registered:
            doomed = self._crash_blame.blame(worker, ended)
        for run in tuple(worker.runs_by_task.values()):
            self._cluster.release(run, reason)
        self._give_up(doomed)

    def _update(
        self, known: workers.Worker, entry: reports.WorkerEntry
    ) -> None:
        known.registered = True
        announced = entry.draining and not known.entry.draining
        known.update(entry)
        if announced:
            _note_departure(
                self._cluster.dependencies.log,
                'worker-draining',
                known,
                remaining_s=entry.remaining_s or 0,
            )
        self._cluster.on_change()

    def _unregister(self, worker: workers.Worker) -> None:
        if worker.registered and worker.runs_by_task:
            _note_departure(
                self._cluster.dependencies.log, 'worker-unregistered', worker
            )
        worker.registered = False

    def _replace(self, old: workers.Worker, new: workers.Worker) -> None:
        same_id = old.entry.id == new.entry.id
        if not same_id:
            self._cluster.workers_by_id.pop(old.entry.id, None)
        old.registered = False
        old.reachable = False
        if old.runs_by_task:
            _note_replaced(self._cluster, old, new)
        doomed = self._crash_blame.blame(old, ended=True)
        for run in tuple(old.runs_by_task.values()):
            if same_id and run.phase is not runs.RunPhase.RUNNING:
                # A delayed start may still reach the new boot.
                old.drop(run)
                run.worker = new
                new.add(run)
                self._cluster.on_unsettled_run(run)
            else:
                self._cluster.release(run, 'worker-replaced')
        self._give_up(doomed)

    def _give_up(self, jobs: Iterable[tasks.JobState]) -> None:
        for job in jobs:
            if not job.ended:
                self._cluster.end_job(job, stored.JobPhase.FAILED)


def _is_successor(new: reports.WorkerEntry, old: reports.WorkerEntry) -> bool:
    """Whether ``new`` is a later boot of the machine of ``old``."""
    return bool(new.machine) and (
        new.machine == old.machine and new.born_ms > old.born_ms
    )


def _note_departure(
    log: decisions.DecisionLog,
    event: str,
    worker: workers.Worker,
    **details: float,
) -> None:
    log.note(
        event,
        worker=worker.entry.id,
        machine=worker.entry.machine,
        runs=len(worker.runs_by_task),
        lasting=workers.lasting_count(worker),
        draining=worker.entry.draining,
        reachable=worker.reachable,
        **details,
    )


def _note_replaced(
    cluster: cluster_state.ClusterState,
    old: workers.Worker,
    new: workers.Worker,
) -> None:
    now_s = cluster.now_s
    lost_s = now_s if old.health.lost_s is None else old.health.lost_s
    last = min(
        old.runs_by_task.values(), key=lambda run: abs(run.age_s(lost_s))
    )
    cluster.dependencies.log.note(
        'worker-replaced',
        worker=old.entry.id,
        successor=new.entry.id,
        runs=len(old.runs_by_task),
        away_s=round(now_s - lost_s, 3),
        last_started=last.task.id.name,
        ran_s=round(last.age_s(lost_s), 3),
    )
