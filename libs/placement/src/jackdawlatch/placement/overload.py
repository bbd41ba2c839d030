"""Correction of hosts whose tasks use more or less than was expected."""

from collections.abc import Iterator

from jackdawlatch.model import hosts, shares
from jackdawlatch.placement import (
    allocations,
    decisions,
    sizes,
    snapshots,
    victims,
)

# A throttle is lifted by at least this fraction, or entirely.
MIN_THROTTLE_LIFT = 0.1


def lift_throttles(
    allocation: allocations.HostAllocation,
) -> Iterator[decisions.Throttle]:
    """Raise the fraction of throttled tasks as far as capacity is free."""
    for task in allocation.tasks:
        free = allocation.free.processors
        if task.fraction < 1 and task.actionable and free > 0:
            full = task.size.processors / task.fraction
            fraction = min(1, task.fraction + free / max(full, sizes.TOLERANCE))
            if fraction - task.fraction >= MIN_THROTTLE_LIFT or fraction == 1:
                added = full * (fraction - task.fraction)
                allocation.allocate(hosts.Capacity(processors=added))
                yield decisions.Throttle(
                    task.job.id, allocation.machine.id, fraction
                )


def reduce_overload(
    allocation: allocations.HostAllocation,
) -> Iterator[decisions.Decision]:
    """Bring a host whose use exceeds its capacity back within it.

    Memory is freed by checkpoints.  Processors are freed by throttles where
    more urgent tasks would be slowed down; otherwise all share alike.  A
    task alone on its host stays: it would fit nowhere better.
    """
    if len(allocation.tasks) < 2:
        return
    for task in sorted(allocation.tasks, key=_order):
        if allocation.excess.memory_mb > 0 and task.movable:
            allocation.expect_release(task, task.size)
            yield decisions.Checkpoint(task.job.id, allocation.machine.id)
    most_urgent = min(map(_rank, allocation.tasks), default=0)
    for task in sorted(allocation.tasks, key=_order):
        if _rank(task) > most_urgent:
            yield from _throttle(allocation, task)


def _throttle(
    allocation: allocations.HostAllocation, task: snapshots.Task
) -> Iterator[decisions.Throttle]:
    full_speed = task.actionable and task.fraction > victims.MIN_FRACTION
    excess = allocation.excess.processors
    if not full_speed or excess <= 0:
        return
    full = task.size.processors / task.fraction
    target = task.fraction - excess / max(full, sizes.TOLERANCE)
    fraction = max(victims.MIN_FRACTION, target)
    freed = hosts.Capacity(processors=full * (task.fraction - fraction))
    allocation.expect_release(task, freed)
    yield decisions.Throttle(task.job.id, allocation.machine.id, fraction)


def _order(task: snapshots.Task) -> tuple[int, float]:
    return (-_rank(task), -task.job.started_s)


def _rank(task: snapshots.Task) -> int:
    return shares.rank(task.job.kind.urgency)
