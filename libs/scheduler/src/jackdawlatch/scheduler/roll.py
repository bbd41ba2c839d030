"""Which workers there are, and what becomes of the runs of lost ones."""

from collections.abc import Collection

from jackdawlatch.scheduler import book, reports, runs, workers


class Roll:
    """Workers as they list themselves."""

    def __init__(self, own: book.Book) -> None:
        self._book = own

    def take(self, entry: reports.WorkerEntry) -> workers.Worker:
        """Take a worker's entry; return the worker of that boot."""
        by_id = self._book.workers_by_id
        known = by_id.get(entry.id)
        if known is not None and known.entry.born_ms == entry.born_ms:
            known.listed = True
            known.update(entry)
            self._book.changed()
            return known
        worker = workers.Worker(entry)
        by_id[entry.id] = worker
        for other in tuple(by_id.values()):
            if other is not worker and _succeeds(entry, other.entry):
                self._replace(other, worker)
        if known is not None:
            self._replace(known, worker)
        self._book.changed()
        return worker

    def unlist(self, worker_id: str) -> None:
        """Note that a worker has no entry any more."""
        known = self._book.workers_by_id.get(worker_id)
        if known is not None:
            known.listed = False

    def keep(self, listed: Collection[str]) -> None:
        """Note that only the workers with these ids have entries."""
        for known in tuple(self._book.workers_by_id.values()):
            if known.entry.id not in listed:
                known.listed = False

    def expire(self, worker: workers.Worker) -> None:
        """Give up the runs of a worker whose leases have surely ended."""
        if worker.reachable or not worker.runs_by_task:
            return
        slack_s = 2 * self._book.parts.bounds.stop_s
        if self._book.now_s > worker.lease_end_s + slack_s:
            for run in tuple(worker.runs_by_task.values()):
                self._book.release(run, 'lease-over')

    def forget(self) -> None:
        """Drop the workers that are neither listed nor run anything."""
        by_id = self._book.workers_by_id
        for worker in tuple(by_id.values()):
            if not worker.listed and not worker.runs_by_task:
                by_id.pop(worker.entry.id)

    def _replace(self, old: workers.Worker, new: workers.Worker) -> None:
        same_id = old.entry.id == new.entry.id
        if not same_id:
            self._book.workers_by_id.pop(old.entry.id, None)
        old.listed = False
        old.reachable = False
        for run in tuple(old.runs_by_task.values()):
            if same_id and run.phase is not runs.RunPhase.RUNNING:
                # A late order may still reach the new boot.
                old.drop(run)
                run.worker = new
                new.add(run)
                self._book.doubtful(run)
            else:
                self._book.release(run, 'worker-replaced')


def _succeeds(new: reports.WorkerEntry, old: reports.WorkerEntry) -> bool:
    """Whether ``new`` is a later life of the machine of ``old``."""
    return bool(new.machine) and (
        new.machine == old.machine and new.born_ms > old.born_ms
    )
