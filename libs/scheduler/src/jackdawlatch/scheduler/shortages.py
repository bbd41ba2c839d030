"""Machines that waiting steps lack because of how they may be placed.

Capacity alone doesn't show these: a step whose tasks may not share a worker, or
a gang that starts as a whole, can need more workers than it would fill.
"""

import dataclasses
import math
from collections.abc import Iterable, Mapping

from jackdawlatch.jobs import model
from jackdawlatch.scheduler import reservations, spread, tasks, workers

# What the tasks need that would start on one machine.
Needs = list[model.Room]
# A machine that moves takes longer than the waits this leaves out.
MIN_WAIT_S = 0.4


@dataclasses.dataclass(frozen=True)
class Machines:
    """The machines that the steps of a service could be placed on.

    ``usable_by_service`` holds the workers that may be given tasks, and
    ``largest`` is the capacity of the largest machine.
    """

    usable_by_service: Mapping[str, list[workers.Worker]]
    largest: model.Room


class Shortages:
    """Tracks which steps wait for machines, and for how long."""

    def __init__(self) -> None:
        self._since_s_by_step: dict[tasks.StepState, float] = {}

    def update(
        self,
        ready: Iterable[tuple[str, tasks.StepState]],
        machines: Machines,
        now_s: float,
    ) -> dict[str, list[Needs]]:
        """Return the machines that each service lacks.

        For each of them, the needs of the tasks that would start there are
        listed.  ``ready`` holds steps that may start, each with its service.
        """
        trial = _Trial(machines, now_s)
        since_s_by_step: dict[tasks.StepState, float] = {}
        for service, state in ready:
            unplaced = trial.place(service, state)
            if unplaced:
                since_s = self._since_s_by_step.get(state, now_s)
                since_s_by_step[state] = since_s
                if now_s - since_s >= MIN_WAIT_S:
                    trial.add_machines(service, state.step, unplaced)
        self._since_s_by_step = since_s_by_step
        return trial.needs_by_service()


def is_bound(step: model.Step) -> bool:
    """Whether a step can wait for ever beside free capacity.

    Tasks of other steps start one after the other on the workers there are.
    Which machines carry a label is not known before they are moved.
    """
    return (step.lasting or step.gang) and not step.required_label


def spread_count(step: model.Step, count: int) -> int:
    """Return how many workers ``count`` tasks need because of their spread."""
    if not is_bound(step) or not step.max_per_worker:
        return 0
    return math.ceil(count / step.max_per_worker)


class _AddedMachine:
    """A machine that would be added for waiting tasks."""

    def __init__(self, room: model.Room) -> None:
        self.needs: Needs = []
        self._left = room

    def place(self, step: model.Step, count: int) -> int:
        """Place up to ``count`` tasks of a step; return how many fit."""
        placed = min(count, max(0, _fitting_count(step, self._left)))
        for _ in range(placed):
            self._left = self._left.minus(step.reserved_room)
        if placed:
            self.needs.append(step.reserved_room)
        return placed


class _Trial:
    """Places waiting tasks on the machines there are, then on added ones."""

    def __init__(self, machines: Machines, now_s: float) -> None:
        self._machines = machines
        self._free = reservations.Reservations(
            machines.usable_by_service, now_s
        )
        self._added_by_service: dict[str, list[_AddedMachine]] = {}

    def place(self, service: str, state: tasks.StepState) -> int:
        """Reserve capacity for a step; return how many tasks found none."""
        if not is_bound(state.step):
            return 0
        if not self._machines.largest.fits(state.step.reserved_room):
            return 0
        waiting = self._reserve_quota(state)
        if waiting and state.step.gang:
            # Gangs without a spread are limited by capacity, as demand is.
            usable = self._machines.usable_by_service.get(service, ())
            needed = spread_count(state.step, state.step.count)
            return max(0, needed - len(usable)) * state.step.max_per_worker
        return waiting - self._reserve(service, state, waiting)

    def add_machines(self, service: str, step: model.Step, count: int) -> None:
        """Add machines until ``count`` tasks of a step could be placed."""
        added = self._added_by_service.setdefault(service, [])
        for known in added:
            count -= known.place(step, count)
        per_machine = _fitting_count(step, self._machines.largest)
        # Jobs that were stored earlier may have a negative limit.
        while count > 0 and per_machine > 0:
            machine = _AddedMachine(self._machines.largest)
            count -= machine.place(step, count)
            added.append(machine)

    def needs_by_service(self) -> dict[str, list[Needs]]:
        """Return what was placed on the machines added to each service."""
        return {
            service: [machine.needs for machine in added]
            for service, added in self._added_by_service.items()
        }

    def _reserve_quota(self, state: tasks.StepState) -> int:
        """Return how many waiting tasks their team's quota admits."""
        job = state.tasks[0].job
        waiting = self._free.allowances.startable_count(state)
        self._free.allowances.reserve(
            job.claim.account, state.step.room.times(waiting)
        )
        return waiting

    def _reserve(
        self, service: str, state: tasks.StepState, waiting: int
    ) -> int:
        step_spread = spread.Spread(state.step.max_per_worker)
        step_spread.add_runs(state.tasks)
        for reserved in range(waiting):
            worker = next(
                filter(
                    step_spread.admits,
                    self._free.candidates(service, state.step, late=False),
                ),
                None,
            )
            if worker is None:
                return reserved
            step_spread.add(worker)
            self._free.reserve(worker, state.step.reserved_room)
        return waiting


def _fitting_count(step: model.Step, room: model.Room) -> int:
    """Return how many tasks of a step a machine may run in free capacity."""
    need = step.reserved_room
    ratios = [
        available // required
        for available, required in (
            (room.processors_m, need.processors_m),
            (room.memory_mb, need.memory_mb),
            (room.accelerators, need.accelerators),
        )
        if required
    ]
    if step.max_per_worker:
        ratios.append(step.max_per_worker)
    return min(ratios, default=step.count)
