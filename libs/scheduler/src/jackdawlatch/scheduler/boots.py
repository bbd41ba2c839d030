"""Replaces each boot of a worker by the next one."""

from jackdawlatch.scheduler import (
    cluster_state,
    crash_blame,
    reports,
    runs,
    workers,
)


class Boots:
    """Adds boots of workers, and releases the runs of those before them."""

    def __init__(
        self, cluster: cluster_state.ClusterState, blame: crash_blame.CrashBlame
    ) -> None:
        self._cluster = cluster
        self._crash_blame = blame

    def add(self, entry: reports.WorkerEntry, found_by: str) -> workers.Worker:
        """Add a boot; ``found_by`` names what has shown it."""
        by_id = self._cluster.workers_by_id
        known = by_id.get(entry.id)
        worker = self._cluster.add_worker(entry)
        for notify in self._cluster.on_new_worker:
            notify(worker)
        for other in tuple(by_id.values()):
            if other is not worker and _is_successor(entry, other.entry):
                self._replace(other, worker, found_by)
        for worker_id in self._cluster.gone_workers.ids_before(entry):
            # The machine goes on under another id.
            self._cluster.dependencies.late_starts.forget(worker_id)
        if known is not None:
            worker.lease.expect_late_requests(
                self._cluster.dependencies.bounds.lease_s, self._cluster.now_s
            )
            self._replace(known, worker, found_by)
        self._cluster.on_change()
        return worker

    def _replace(
        self, old: workers.Worker, new: workers.Worker, found_by: str
    ) -> None:
        same_id = old.entry.id == new.entry.id
        if not same_id:
            self._cluster.workers_by_id.pop(old.entry.id, None)
            self._cluster.gone_workers.add(old)
        new.health.replaced_s = (
            self._cluster.now_s if _is_lost(old) else old.health.replaced_s
        )
        old.registered = False
        old.reachable = False
        _note_replaced(self._cluster, old, new, found_by)
        doomed = self._crash_blame.blame(old, ended=True)
        for run in tuple(old.runs_by_task.values()):
            if same_id and _may_be_on_next(run):
                self._move(run, new)
            else:
                self._cluster.release(run, 'worker-replaced')
        self._crash_blame.give_up(doomed)

    def _move(self, run: runs.Run, new: workers.Worker) -> None:
        """Let the answers of the new boot show whether a run is there."""
        run.worker.drop(run)
        run.worker = new
        new.add(run)
        self._cluster.dependencies.progress_writer.enqueue(run.task.job)
        run.phase = runs.RunPhase.UNSETTLED
        # The new boot refuses the start from its first answer on.
        run.settled_after_s = self._cluster.now_s


def _is_lost(old: workers.Worker) -> bool:
    """Whether a boot ended though it was neither leaving nor being moved."""
    leaving = old.health.moved or old.entry.draining
    return not leaving and not old.cordons


def _may_be_on_next(run: runs.Run) -> bool:
    """Whether the boot after the one that was addressed may have a run.

    It may have answered the start itself.
    """
    return run.phase is not runs.RunPhase.WRITING and not run.located


def _is_successor(new: reports.WorkerEntry, old: reports.WorkerEntry) -> bool:
    """Whether ``new`` is a later boot of the machine of ``old``."""
    return bool(new.machine) and (
        new.machine == old.machine and new.born_ms > old.born_ms
    )


def _note_replaced(
    cluster: cluster_state.ClusterState,
    old: workers.Worker,
    new: workers.Worker,
    found_by: str,
) -> None:
    now_s = cluster.now_s
    lost_s = now_s if old.health.lost_s is None else old.health.lost_s
    last = min(
        old.runs_by_task.values(),
        key=lambda run: abs(run.age_s(lost_s)),
        default=None,
    )
    cluster.dependencies.log.note(
        'worker-replaced',
        worker=old.entry.id,
        born=old.entry.born_ms,
        successor=new.entry.id,
        successor_born=new.entry.born_ms,
        machine=old.entry.machine,
        service=old.entry.service,
        successor_machine=new.entry.machine,
        successor_service=new.entry.service,
        found_by=found_by,
        runs=len(old.runs_by_task),
        away_s=round(now_s - lost_s, 3),
        last_started=last.task.id.name if last else '',
        ran_s=round(last.age_s(lost_s), 3) if last else 0,
    )
