"""Machines that waiting steps lack because of how they may be placed.

Capacity alone doesn't show these: a step whose tasks may not share a worker, or
a gang that starts as a whole, can need more workers than it would fill.
"""

import collections
import dataclasses
import math
from collections.abc import Iterable, Mapping

from jackdawlatch.jobs import model
from jackdawlatch.scheduler import reservations, spread, tasks, workers

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
    ) -> dict[str, int]:
        """Return how many more machines each service needs.

        ``ready`` holds steps that may start, each with its service.
        """
        free = reservations.Reservations(machines.usable_by_service, now_s)
        missing_by_service: dict[str, int] = collections.defaultdict(int)
        since_s_by_step: dict[tasks.StepState, float] = {}
        for service, state in ready:
            if not is_bound(state.step) or not state.waiting_count():
                continue
            missing = _missing(service, state, machines, free)
            if missing:
                since_s = self._since_s_by_step.get(state, now_s)
                since_s_by_step[state] = since_s
                if now_s - since_s >= MIN_WAIT_S:
                    missing_by_service[service] += missing
        self._since_s_by_step = since_s_by_step
        return missing_by_service


def is_bound(step: model.Step) -> bool:
    """Whether a step can wait for ever beside free capacity.

    Tasks of other steps start one after the other on the workers there are.
    Which machines carry a label is not known before they are moved.
    """
    return (step.lasting or step.gang) and not step.required_label


def spread_count(step: model.Step) -> int:
    """Return how many workers a step needs at once because of its spread."""
    if not is_bound(step) or not step.max_per_worker:
        return 0
    return math.ceil(step.count / step.max_per_worker)


def _missing(
    service: str,
    state: tasks.StepState,
    machines: Machines,
    free: reservations.Reservations,
) -> int:
    """Return how many more machines a step needs, and reserve the others."""
    per_machine = _count_per_machine(state.step, machines.largest)
    if not per_machine:
        return 0
    if state.step.gang:
        # Gangs without a spread are limited by capacity, which demand covers.
        usable = machines.usable_by_service.get(service, ())
        return max(0, spread_count(state.step) - len(usable))
    unplaced = state.waiting_count() - _reserve(service, state, free)
    return math.ceil(unplaced / per_machine)


def _reserve(
    service: str, state: tasks.StepState, free: reservations.Reservations
) -> int:
    """Reserve capacity for waiting tasks; return for how many there was."""
    step_spread = spread.Spread(state.step.max_per_worker)
    step_spread.add_runs(state.tasks)
    for reserved in range(state.waiting_count()):
        worker = next(
            filter(
                step_spread.admits,
                free.candidates(service, state.step, late=False),
            ),
            None,
        )
        if worker is None:
            return reserved
        step_spread.add(worker)
        free.reserve(worker, state.step.reserved_room)
    return state.waiting_count()


def _count_per_machine(step: model.Step, machine: model.Room) -> int:
    """Return how many tasks of a step an empty machine may run."""
    need = step.reserved_room
    ratios = [
        available // required
        for available, required in (
            (machine.processors_m, need.processors_m),
            (machine.memory_mb, need.memory_mb),
            (machine.accelerators, need.accelerators),
        )
        if required
    ]
    if step.max_per_worker:
        ratios.append(step.max_per_worker)
    return min(ratios, default=step.count)
