"""Decides which waiting tasks start now, and where."""

import abc
import dataclasses
from collections.abc import Iterable, Iterator, Mapping

from jackdawlatch.jobs import model, queues
from jackdawlatch.scheduler import tasks, workers

# A step's objective allows up to this many times its latency objective
# before the rest of its worth is gone.
DEFAULT_ESTIMATE_S = 1.0
LAST_PRIORITY = 99


@dataclasses.dataclass(frozen=True)
class Placement:
    """A task that is to be started on a worker."""

    task: tasks.Task
    worker: workers.Worker
    attempt: int
    ticket: str = ''


@dataclasses.dataclass(frozen=True)
class Moment:
    """The time of a planning round on both clocks."""

    steady_s: float
    wall_s: float


class Order(abc.ABC):
    """Which job goes first; a lower key does."""

    @abc.abstractmethod
    def key(self, job: tasks.JobState, moment: Moment) -> tuple[float, ...]:
        """Return the sort key of a job."""


class ObjectiveOrder(Order):
    """By priority; then what can meet its objective, least work first."""

    def key(self, job: tasks.JobState, moment: Moment) -> tuple[float, ...]:
        """Return the sort key of a job."""
        queue = job.queue
        priority = queue.priority if queue else LAST_PRIORITY
        lasting = any(step.lasting for step in job.job.steps)
        work = sum(
            (state.step.count - state.done_count)
            * state.step.estimate_s
            * state.step.room.processors_m
            for state in job.steps
        )
        late = moment.wall_s > self._objective_s(job, queue)
        return (not lasting, late, priority, work)

    def _objective_s(
        self, job: tasks.JobState, queue: queues.Queue | None
    ) -> float:
        if queue is None:
            return job.job.accepted_s
        chain_s = sum(step.estimate_s for step in job.job.steps)
        left_s = sum(
            state.step.estimate_s for state in job.steps if not state.done
        )
        latest_s = queue.slack_factor * chain_s + queue.target_s - left_s
        return job.job.accepted_s + latest_s


class Planner:
    """Places ready tasks on the workers of their services."""

    def __init__(self, order: Order) -> None:
        self._order = order

    def plan(
        self,
        jobs: Iterable[tasks.JobState],
        candidates_by_service: Mapping[str, list[workers.Worker]],
        moment: Moment,
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
        self.planned_by_step: dict[tuple[str, str, int, int], int] = {}

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
) -> Iterator[Placement]:
    service = job.queue.service if job.queue else job.job.service
    waiting = [
        task for task in state.tasks if task.phase is tasks.TaskPhase.WAITING
    ]
    if state.step.gang and len(waiting) < len(state.tasks):
        return
    chosen: list[tuple[tasks.Task, workers.Worker]] = []
    counts = _counts(state)
    for task in waiting:
        worker = _choose(service, state.step, room, counts)
        if worker is None:
            break
        counts[worker.entry.id] = counts.get(worker.entry.id, 0) + 1
        room.take(worker, state.step.held_room)
        chosen.append((task, worker))
    if state.step.gang and len(chosen) < len(state.tasks):
        return
    highest = max((task.attempt for task in state.tasks), default=0)
    for task, worker in chosen:
        attempt = (highest if state.step.gang else task.attempt) + 1
        yield Placement(task, worker, attempt)


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
        if step.lasting:
            # Spread, so that one host's loss takes one task of a step.
            return (remote, counts.get(worker.entry.id, 0), -free_m)
        return (remote, free_m)

    return min(fitting, key=cost)
