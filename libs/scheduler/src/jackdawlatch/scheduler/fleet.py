"""The machines of the services that run, and which of them idle."""

from jackdawlatch.jobs import model
from jackdawlatch.scheduler import book, workers


class Fleet:
    """Usable workers of services that are not switched off."""

    def __init__(self, own: book.Book) -> None:
        self._book = own
        self._idle_since_s: dict[workers.Worker, float] = {}

    def usable(self) -> list[workers.Worker]:
        """Return the workers that may be given tasks."""
        serving = self._book.catalog.serving_services()
        return [
            worker
            for worker in self._book.workers_by_id.values()
            if worker.usable
            and worker.entry.machine
            and worker.entry.service in serving
        ]

    def largest(self) -> model.Room:
        """Return the room of the machine with the most processors."""
        return max(
            (worker.entry.room for worker in self.usable()),
            key=lambda room: room.processors_m,
            default=model.Room(),
        )

    def note_idle(self) -> None:
        """Take note of which workers run nothing."""
        now_s = self._book.now_s
        self._idle_since_s = {
            worker: self._idle_since_s.get(worker, now_s)
            for worker in self.usable()
            if not worker.runs_by_task
        }

    def idle_for(self, least_s: float) -> list[workers.Worker]:
        """Return the workers that have idled so long, the longest first."""
        latest_s = self._book.now_s - least_s
        found = [
            worker
            for worker, since_s in self._idle_since_s.items()
            if since_s < latest_s and worker.usable and not worker.runs_by_task
        ]
        return sorted(found, key=lambda worker: self._idle_since_s[worker])
