"""Remembers workers that were removed, since they may come back."""

import collections

from jackdawlatch.scheduler import reports, workers

MAX_WORKERS = 1024


class GoneWorkers:
    """The last boot of each removed worker, as far as there is space.

    What was sent to it may still reach that boot or a later one.
    """

    def __init__(self) -> None:
        self._workers_by_id: collections.OrderedDict[str, workers.Worker] = (
            collections.OrderedDict()
        )

    def add(self, worker: workers.Worker) -> None:
        """Remember a worker."""
        self._workers_by_id[worker.entry.id] = worker
        self._workers_by_id.move_to_end(worker.entry.id)
        if len(self._workers_by_id) > MAX_WORKERS:
            self._workers_by_id.popitem(last=False)

    def boot(
        self, entry: reports.WorkerEntry, longest_s: float, now_s: float
    ) -> workers.Worker:
        """Return the worker with an entry, which is forgotten.

        ``longest_s`` is the longest lease that a request to an earlier boot may
        have given.
        """
        gone = self._workers_by_id.pop(entry.id, None)
        if gone is not None and gone.entry.boot == entry.boot:
            gone.update(entry)
            gone.registered = True
            return gone
        worker = workers.Worker(entry)
        if gone is not None:
            worker.lease.expect_late_requests(longest_s, now_s)
        return worker
