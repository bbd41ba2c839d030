"""Tracks which workers exist, and releases the runs of lost ones."""

import dataclasses
from collections.abc import Collection, Iterable

from jackdawlatch.scheduler import (
    boots,
    cluster_state,
    crash_blame,
    reports,
    runs,
    tasks,
    withheld_entries,
    workers,
)
from jackdawlatch.telemetry import decisions


class WorkerRegistry:
    """Applies the registrations of workers to the cluster state.

    ``withheld`` keeps those that are not to be applied yet.
    """

    def __init__(self, cluster: cluster_state.ClusterState) -> None:
        self.withheld = withheld_entries.WithheldEntries(cluster)
        self._cluster = cluster
        self._crash_blame = crash_blame.CrashBlame(cluster)
        self._boots = boots.Boots(cluster, self._crash_blame)

    def register(self, entry: reports.WorkerEntry) -> workers.Worker:
        """Add or update a worker; return the state of that boot.

        Entries may be read late, so that one of an earlier boot changes nothing.
        """
        known = self._cluster.workers_by_id.get(entry.id)
        if known is None or entry.born_ms > known.entry.born_ms:
            return self._boots.add(entry, 'registration')
        if entry.born_ms == known.entry.born_ms:
            self._update(known, entry)
        else:
            self._cluster.dependencies.log.note(
                'registration-outdated',
                worker=entry.id,
                born=entry.born_ms,
                known_born=known.entry.born_ms,
            )
        return known

    def find_boot(self, known: workers.Worker, born_ms: int) -> None:
        """Replace a worker by the boot that has answered a poll.

        It gets no tasks until it registers: its room and labels may differ.
        """
        entry = dataclasses.replace(
            known.entry, born_ms=born_ms, draining=False, remaining_s=None
        )
        self._boots.add(entry, 'poll').registered = False

    def disregard(self, worker_id: str) -> None:
        """Mark a worker whose entry names none; it may still be running."""
        known = self._cluster.workers_by_id.get(worker_id)
        if known is not None:
            _mark_unregistered(self._cluster, known)

    def unregister(self, worker_id: str) -> None:
        """Mark a worker whose entry was deleted."""
        known = self._cluster.workers_by_id.get(worker_id)
        if known is not None:
            _mark_removed(self._cluster, known)

    def retain(self, worker_ids: Collection[str]) -> None:
        """Mark every worker without an entry; ``worker_ids`` have one."""
        for known in tuple(self._cluster.workers_by_id.values()):
            if known.entry.id not in worker_ids:
                _mark_removed(self._cluster, known)

    def release_expired_runs(self, worker: workers.Worker) -> None:
        """Release the runs of an unreachable worker whose lease has ended."""
        if worker.reachable or not worker.runs_by_task:
            return
        latest_s = (
            self._cluster.now_s - 2 * self._cluster.dependencies.bounds.stop_s
        )
        expired = [
            run
            for run in worker.runs_by_task.values()
            if worker.lease.run_end_s(run) < latest_s
        ]
        if expired:
            self._release(worker, expired, 'lease-over', ended=False)

    def end(self, worker: workers.Worker) -> None:
        """Release the runs of a boot that is known to have ended."""
        worker.registered = False
        worker.reachable = False
        ended_runs = tuple(worker.runs_by_task.values())
        self._release(worker, ended_runs, 'worker-ended', ended=True)

    def expire_late_starts(self) -> None:
        """Forget the starts whose runs must have lapsed on any boot."""
        bounds = self._cluster.dependencies.bounds
        self._cluster.dependencies.late_starts.expire(
            self._cluster.now_s
            - workers.lease_end_s(bounds.lease_s, 2 * bounds.stop_s)
        )

    def remove_gone_workers(self) -> None:
        """Remove the workers that are not registered and have no runs."""
        by_id = self._cluster.workers_by_id
        for worker in tuple(by_id.values()):
            if not worker.registered and not worker.runs_by_task:
                by_id.pop(worker.entry.id)
                self._cluster.gone_workers.add(worker)

    def _release(
        self,
        worker: workers.Worker,
        released: Iterable[runs.Run],
        reason: str,
        ended: bool,
    ) -> None:
        doomed: list[tasks.JobState] = []
        if not worker.registered:
            doomed = self._crash_blame.blame(worker, ended)
        for run in released:
            self._cluster.release(run, reason)
        self._crash_blame.give_up(doomed)

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


def _mark_unregistered(
    cluster: cluster_state.ClusterState, worker: workers.Worker
) -> None:
    if worker.registered and worker.runs_by_task:
        _note_departure(cluster.dependencies.log, 'worker-unregistered', worker)
    worker.registered = False


def _mark_removed(
    cluster: cluster_state.ClusterState, worker: workers.Worker
) -> None:
    _mark_unregistered(cluster, worker)
    if worker.entry.draining:
        # It has left as announced, and has no later boot.
        cluster.dependencies.late_starts.forget(worker.entry.id)


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
