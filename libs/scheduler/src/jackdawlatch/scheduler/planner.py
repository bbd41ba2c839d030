"""Decides which waiting tasks start now, and where."""

import dataclasses
from collections.abc import Iterable, Mapping

from jackdawlatch.jobs import model
from jackdawlatch.scheduler import job_order, tasks, workers


@dataclasses.dataclass(frozen=True)
class Placement:
    """A task that is to be started on a worker."""

    task: tasks.Task
    worker: workers.Worker
    attempt: int
    ticket: str = ''


class Planner:
    """Places ready tasks on the workers of their services."""

    def __init__(self, order: job_order.Order) -> None:
        self._order = order

    def plan(
        self,
        jobs: Iterable[tasks.JobState],
        candidates_by_service: Mapping[str, list[workers.Worker]],
        moment: job_order.Moment,
    ) -> list[Placement]:
        """Return what starts now; the callers' state is not changed."""
        waiting = [
            (job, steps)
            for job in jobs
            if not job.ended
            for steps in (_waiting_steps(job, moment.wall_s),)
            if steps
        ]
        waiting.sort(key=lambda pair: self._order.key(pair[0], moment))
        room = _Rooms(candidates_by_service, moment.steady_s)
        placements: list[Placement] = []
        for job, steps in waiting:
            for state in steps:
                placements.extend(_place_step(job, state, room))
        return placements


class _Rooms:
    """What is free on each worker while a round is planned."""

    def __init__(
        self,
        candidates_by_service: Mapping[str, list[workers.Worker]],
        now_s: float,
    ) -> None:
        self._by_service = {
            service: [
                worker
                for worker in found
                if worker.usable and worker.penalty_until_s <= now_s
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


def _waiting_steps(job: tasks.JobState, wall_s: float) -> list[tasks.StepState]:
    return [
        state
        for state in job.ready_steps(wall_s)
        if any(task.phase is tasks.TaskPhase.WAITING for task in state.tasks)
    ]


def _place_step(
    job: tasks.JobState, state: tasks.StepState, room: _Rooms
) -> list[Placement]:
    waiting = [
        task for task in state.tasks if task.phase is tasks.TaskPhase.WAITING
    ]
    gang = state.step.gang
    if gang and len(waiting) < len(state.tasks):
        return []
    chosen = _choose_all(job, state, waiting, room)
    if gang and len(chosen) < len(waiting):
        return []
    # The members of a gang share the number of their attempt.
    highest = max(task.attempt for task in state.tasks)
    return [
        Placement(task, worker, 1 + max(task.attempt, highest * gang))
        for task, worker in chosen
    ]


def _choose_all(
    job: tasks.JobState,
    state: tasks.StepState,
    waiting: list[tasks.Task],
    room: _Rooms,
) -> list[tuple[tasks.Task, workers.Worker]]:
    counts = _counts(state)
    chosen: list[tuple[tasks.Task, workers.Worker]] = []
    for task in waiting:
        worker = _choose(job.service, state.step, room, counts)
        if worker is None:
            break
        counts[worker.entry.id] = counts.get(worker.entry.id, 0) + 1
        room.take(worker, state.step.held_room)
        chosen.append((task, worker))
    return chosen


def _counts(state: tasks.StepState) -> dict[str, int]:
    counts: dict[str, int] = {}
    for task in state.tasks:
        if task.run is not None:
            worker = task.run.worker.entry.id
            counts[worker] = counts.get(worker, 0) + 1
    return counts


def _choose(
    service: str, step: model.Step, room: _Rooms, counts: Mapping[str, int]
) -> workers.Worker | None:
    fitting = [
        worker
        for worker in room.candidates(service, step)
        if not step.max_per_worker
        or counts.get(worker.entry.id, 0) < step.max_per_worker
    ]
    if not fitting:
        return None

    def cost(worker: workers.Worker) -> tuple[float, ...]:
        remote = bool(step.data_rack) and worker.entry.rack != step.data_rack
        free_m = room.free(worker).processors_m
        # Packed, so that whole machines stay free for other services.
        return (remote, free_m)

    return min(fitting, key=cost)
