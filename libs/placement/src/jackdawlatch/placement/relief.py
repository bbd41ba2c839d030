"""Correcting hosts whose tasks turned out larger or smaller than thought."""

from collections.abc import Iterator

from jackdawlatch.model import hosts, shares
from jackdawlatch.placement import (
    decisions,
    rooms,
    situation,
    sizes,
    victims,
)

# A throttle is lifted in steps of at least this part.
LEAST_LIFT = 0.1


def lift(room: rooms.Room) -> Iterator[decisions.Throttle]:
    """Lift throttles as far as there is room again."""
    for task in room.tasks:
        free = room.free.processors
        if task.fraction < 1 and task.settled and free > 0:
            full = task.size.processors / task.fraction
            fraction = min(1, task.fraction + free / max(full, sizes.TINY))
            if fraction - task.fraction >= LEAST_LIFT or fraction == 1:
                gained = full * (fraction - task.fraction)
                room.take(hosts.Capacity(processors=gained))
                yield decisions.Throttle(task.job.id, room.machine.id, fraction)


def relieve(room: rooms.Room) -> Iterator[decisions.Decision]:
    """Make a host that is over its capacity fit again.

    Memory is freed by checkpoints.  Processors are freed by throttles where
    more urgent tasks would be slowed down; otherwise all share alike.  A
    task alone on its host stays: it would fit nowhere better.
    """
    if len(room.tasks) < 2:
        return
    for task in sorted(room.tasks, key=_order):
        if room.over.memory_mb > 0 and task.movable:
            room.expect(task, task.size)
            yield decisions.Checkpoint(task.job.id, room.machine.id)
    most_urgent = min(map(_rank, room.tasks), default=0)
    for task in sorted(room.tasks, key=_order):
        if _rank(task) > most_urgent:
            yield from _slow_down(room, task)


def _slow_down(
    room: rooms.Room, task: situation.Task
) -> Iterator[decisions.Throttle]:
    full_speed = task.settled and task.fraction > victims.LEAST_FRACTION
    over = room.over.processors
    if not full_speed or over <= 0:
        return
    full = task.size.processors / task.fraction
    wanted = task.fraction - over / max(full, sizes.TINY)
    fraction = max(victims.LEAST_FRACTION, wanted)
    freed = hosts.Capacity(processors=full * (task.fraction - fraction))
    room.expect(task, freed)
    yield decisions.Throttle(task.job.id, room.machine.id, fraction)


def _order(task: situation.Task) -> tuple[int, float]:
    return (-_rank(task), -task.job.started_s)


def _rank(task: situation.Task) -> int:
    return shares.rank(task.job.kind.urgency)
