"""What is free on each worker while one round is planned."""

from collections.abc import Mapping

from jackdawlatch.jobs import model
from jackdawlatch.scheduler import workers


class Rooms:
    """Free room by worker; the workers themselves are not changed."""

    def __init__(
        self,
        candidates_by_service: Mapping[str, list[workers.Worker]],
        now_s: float,
    ) -> None:
        self._by_service = {
            service: [
                worker
                for worker in found
                if worker.usable and worker.standing.barred_until_s <= now_s
            ]
            for service, found in candidates_by_service.items()
        }
        self._free_by_worker: dict[str, model.Room] = {}

    def candidates(
        self, service: str, step: model.Step
    ) -> list[workers.Worker]:
        """Return the workers that have room for one more task."""
        return [
            worker
            for worker in self._by_service.get(service, ())
            if self.free(worker).holds(step.held_room)
            and (
                not step.required_label
                or step.required_label in worker.entry.labels
            )
        ]

    def free(self, worker: workers.Worker) -> model.Room:
        """Return what is left of a worker in this round."""
        return self._free_by_worker.get(worker.entry.id, worker.free)

    def take(self, worker: workers.Worker, need: model.Room) -> None:
        """Take room in this round."""
        self._free_by_worker[worker.entry.id] = self.free(worker).less(need)

    def give_back(self, worker: workers.Worker, need: model.Room) -> None:
        """Return room that was taken in this round."""
        self._free_by_worker[worker.entry.id] = self.free(worker).plus(need)
