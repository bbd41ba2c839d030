"""Tentative reservations of capacity within one planning round."""

import dataclasses
from collections.abc import Iterable, Mapping

from jackdawlatch.jobs import model
from jackdawlatch.scheduler import workers


@dataclasses.dataclass(frozen=True)
class WorkerCounts:
    """How many workers of a service are left after each condition.

    ``usable`` may be given tasks, ``available`` are not suspended either, and
    ``fitting`` have the capacity and the label for one more task of a step.
    """

    known: int
    usable: int
    available: int
    fitting: int


class Reservations:
    """Free capacity by worker id; the workers themselves are not changed."""

    def __init__(
        self,
        candidates_by_service: Mapping[str, list[workers.Worker]],
        now_s: float,
    ) -> None:
        self._candidates_by_service = candidates_by_service
        self._by_service = {
            service: [
                worker
                for worker in candidates
                if worker.usable and worker.health.suspended_until_s <= now_s
            ]
            for service, candidates in candidates_by_service.items()
        }
        self._free_by_worker: dict[str, model.Room] = {}
        # More than this is free on no worker; reservations only lower it.
        self._largest_by_service = {
            service: _largest(worker.free for worker in available)
            for service, available in self._by_service.items()
        }

    def may_fit(self, service: str, step: model.Step) -> bool:
        """Whether a task of a step could fit, without a look at each worker."""
        largest = self._largest_by_service.get(service)
        return largest is not None and largest.fits(step.reserved_room)

    def candidates(
        self, service: str, step: model.Step
    ) -> list[workers.Worker]:
        """Return the workers with free capacity for one more task of a step."""
        return [
            worker
            for worker in self._by_service.get(service, ())
            if self.free(worker).fits(step.reserved_room)
            and (
                not step.required_label
                or step.required_label in worker.entry.labels
            )
        ]

    def counts(self, service: str, step: model.Step) -> WorkerCounts:
        """Return how many workers could be given one more task of a step."""
        known = self._candidates_by_service.get(service, ())
        return WorkerCounts(
            known=len(known),
            usable=sum(worker.usable for worker in known),
            available=len(self._by_service.get(service, ())),
            fitting=len(self.candidates(service, step)),
        )

    def free(self, worker: workers.Worker) -> model.Room:
        """Return the free capacity of a worker after the reservations."""
        return self._free_by_worker.get(worker.entry.id, worker.free)

    def reserve(self, worker: workers.Worker, need: model.Room) -> None:
        """Reserve capacity of a worker."""
        self._free_by_worker[worker.entry.id] = self.free(worker).minus(need)

    def release(self, worker: workers.Worker, need: model.Room) -> None:
        """Undo a reservation."""
        self._free_by_worker[worker.entry.id] = self.free(worker).plus(need)


def _largest(rooms: Iterable[model.Room]) -> model.Room:
    """Return the largest of each quantity."""
    largest = model.Room()
    for room in rooms:
        largest = model.Room(
            processors_m=max(largest.processors_m, room.processors_m),
            memory_mb=max(largest.memory_mb, room.memory_mb),
            accelerators=max(largest.accelerators, room.accelerators),
        )
    return largest
