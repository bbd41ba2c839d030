"""Chooses workers for the waiting tasks of one step."""

import collections
import dataclasses
from collections.abc import Callable

from jackdawlatch.scheduler import advisor, rooms, tasks, workers


@dataclasses.dataclass(frozen=True)
class Placement:
    """A task that is to be started on a worker."""

    task: tasks.Task
    worker: workers.Worker
    attempt: int
    ticket: str = ''


Fits = Callable[[workers.Worker], bool]
Choice = list[tuple[tasks.Task, workers.Worker]]


class StepPlacer:
    """Places the tasks of one step on one service's workers."""

    def __init__(
        self,
        state: tasks.StepState,
        room: rooms.Rooms,
        tickets: advisor.Tickets | None,
    ) -> None:
        self._state = state
        self._step = state.step
        self._service = state.tasks[0].job.service
        self._room = room
        self._tickets = tickets
        self._counts = collections.Counter(
            task.run.worker.entry.id
            for task in state.tasks
            if task.run is not None
        )

    def place(self) -> list[Placement]:
        """Return the placements; a gang is placed as a whole or not."""
        waiting = [
            task
            for task in self._state.tasks
            if task.phase is tasks.TaskPhase.WAITING
        ]
        gang = self._step.gang
        if gang and len(waiting) < len(self._state.tasks):
            return []
        chosen = self._choose_together(waiting)
        if gang and len(chosen) < len(waiting):
            self._undo(chosen)
            return []
        # The members of a gang share the number of their attempt.
        highest = max(task.attempt for task in self._state.tasks)
        return [
            Placement(
                task,
                worker,
                1 + max(task.attempt, highest * gang),
                self._tickets.of(worker) if self._tickets else '',
            )
            for task, worker in chosen
        ]

    def _choose_together(self, waiting: list[tasks.Task]) -> Choice:
        if not self._step.same_rack:
            return self._choose(waiting, _anywhere)
        racks = {
            worker.entry.rack
            for worker in self._room.candidates(self._service, self._step)
        }
        for rack in sorted(racks, key=self._is_remote):
            chosen = self._choose(waiting, _in_rack(rack))
            if len(chosen) == len(waiting):
                return chosen
            self._undo(chosen)
        # Slower on several racks, but not undone.
        return self._choose(waiting, _anywhere)

    def _choose(self, waiting: list[tasks.Task], fits: Fits) -> Choice:
        chosen: Choice = []
        for task in waiting:
            worker = self._best(task, fits)
            if worker is None:
                break
            self._counts[worker.entry.id] += 1
            self._room.take(worker, self._step.held_room)
            chosen.append((task, worker))
        return chosen

    def _undo(self, chosen: Choice) -> None:
        for _, worker in chosen:
            self._counts[worker.entry.id] -= 1
            self._room.give_back(worker, self._step.held_room)

    def _best(self, task: tasks.Task, fits: Fits) -> workers.Worker | None:
        most = self._step.max_per_worker
        fitting = [
            worker
            for worker in self._room.candidates(self._service, self._step)
            if fits(worker)
            and (not most or self._counts[worker.entry.id] < most)
            and (self._tickets is None or self._tickets.of(worker))
        ]
        return min(
            fitting,
            key=lambda worker: (
                worker.entry.id == task.avoided,
                *self._cost(worker),
            ),
            default=None,
        )

    def _is_remote(self, rack: str) -> bool:
        return bool(self._step.data_rack) and rack != self._step.data_rack

    def _cost(self, worker: workers.Worker) -> tuple[float, ...]:
        remote = self._is_remote(worker.entry.rack)
        # Packed, so that whole machines stay free for other services.
        lasting = _lasting_count(worker) if self._step.lasting else 0
        return (remote, -lasting, self._room.free(worker).processors_m)


def _anywhere(_worker: workers.Worker) -> bool:
    return True


def _in_rack(rack: str) -> Fits:
    def fits(worker: workers.Worker) -> bool:
        return worker.entry.rack == rack

    return fits


def _lasting_count(worker: workers.Worker) -> int:
    return sum(run.task.step.lasting for run in worker.runs_by_task.values())
