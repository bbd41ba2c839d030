"""Remembers workers that were removed, since they may come back."""

import collections
from collections.abc import Mapping

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
        self._earlier_born_ms_by_id: dict[str, int] = {}

    def restore(self, born_ms_by_id: Mapping[str, int]) -> None:
        """Replace the boots that an earlier leader has sent requests to."""
        self._earlier_born_ms_by_id = dict(born_ms_by_id)

    def born_ms_by_id(self) -> dict[str, int]:
        """Return the birth of the last boot of each worker."""
        gone = {
            worker.entry.id: worker.entry.born_ms
            for worker in self._workers_by_id.values()
        }
        return {**self._earlier_born_ms_by_id, **gone}

    def add(self, worker: workers.Worker) -> None:
        """Remember a worker."""
        self._workers_by_id[worker.entry.id] = worker
        self._workers_by_id.move_to_end(worker.entry.id)
        if len(self._workers_by_id) > MAX_WORKERS:
            self._workers_by_id.popitem(last=False)

    def ids_before(self, entry: reports.WorkerEntry) -> tuple[str, ...]:
        """Return the other ids that the machine of a boot had before."""
        return tuple(
            gone.entry.id
            for gone in self._workers_by_id.values()
            if entry.machine
            and gone.entry.machine == entry.machine
            and gone.entry.born_ms < entry.born_ms
            and gone.entry.id != entry.id
        )

    def boot(
        self, entry: reports.WorkerEntry, longest_s: float, now_s: float
    ) -> workers.Worker:
        """Return the worker with an entry, which is forgotten.

        ``longest_s`` is the longest lease that a request to an earlier boot may
        have given.
        """
        gone = self._workers_by_id.pop(entry.id, None)
        earlier_born_ms = self._earlier_born_ms_by_id.pop(
            entry.id, entry.born_ms
        )
        if gone is not None and gone.entry.boot == entry.boot:
            gone.update(entry)
            gone.registered = True
            return gone
        worker = workers.Worker(entry)
        if gone is not None or earlier_born_ms != entry.born_ms:
            worker.lease.expect_late_requests(longest_s, now_s)
        return worker
