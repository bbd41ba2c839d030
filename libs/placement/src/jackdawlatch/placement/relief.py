"""Correcting hosts whose tasks turned out larger or smaller than thought."""

from collections.abc import Iterator

from jackdawlatch.model import hosts
from jackdawlatch.placement import decisions, rooms, situation, victims, weights


def lift(room: rooms.Room) -> Iterator[decisions.Throttle]:
    """Lift throttles for which there is room again."""
    for task in room.tasks:
        if task.fraction < 1 and task.settled:
            processors = task.size.processors * (1 / task.fraction - 1)
            if processors <= room.free.processors:
                room.take(hosts.Capacity(processors=processors))
                yield decisions.Throttle(task.job.id, room.machine.id, 1)


def relieve(room: rooms.Room) -> Iterator[decisions.Decision]:
    """Make a host that is over its capacity fit again.

    Memory is freed by checkpoints, processors by throttles.  A task alone
    on its host stays: it would fit nowhere better.
    """
    if len(room.tasks) < 2:
        return
    for task in sorted(room.tasks, key=_order):
        if room.over.memory_mb > 0 and task.movable:
            room.expect(task, task.size)
            yield decisions.Checkpoint(task.job.id, room.machine.id)
    for task in sorted(room.tasks, key=_order):
        yield from _slow_down(room, task)


def _slow_down(
    room: rooms.Room, task: situation.Task
) -> Iterator[decisions.Throttle]:
    full_speed = task.settled and task.fraction > victims.LEAST_FRACTION
    if not full_speed or room.over.processors <= 0:
        return
    kept = victims.LEAST_FRACTION / task.fraction
    freed = hosts.Capacity(processors=task.size.processors * (1 - kept))
    room.expect(task, freed)
    yield decisions.Throttle(
        task.job.id, room.machine.id, victims.LEAST_FRACTION
    )


def _order(task: situation.Task) -> tuple[int, float]:
    return (-weights.rank(task.job.kind.urgency), -task.job.started_s)
