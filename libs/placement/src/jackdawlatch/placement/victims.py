"""Choosing which tasks make way for a job that has no room."""

import dataclasses
from collections.abc import Iterator

from jackdawlatch.model import hosts, shares, work
from jackdawlatch.placement import (
    decisions,
    fairness,
    rooms,
    situation,
    sizes,
)

# Work that is not urgent waits so long before others make way for it.
RECLAIM_S = 10
LEAST_FRACTION = 0.25
CHECKPOINT_COST = 1.0
THROTTLE_COST = 0.5
# Pools larger than this are searched by sample, to stay near linear.
SAMPLE = 8
# After so many searches in vain a round gives up on making room.
MAX_SEARCHES = 16


@dataclasses.dataclass(frozen=True)
class Yielding:
    """One task that would make way, and what that frees."""

    task: situation.Task
    freed: hosts.Capacity
    cost: float

    def decision(self, host: str) -> decisions.Decision:
        """Return what to do about the task."""
        if self.cost == CHECKPOINT_COST:
            return decisions.Checkpoint(self.task.job.id, host)
        return decisions.Throttle(self.task.job.id, host, LEAST_FRACTION)


@dataclasses.dataclass(frozen=True)
class Clearing:
    """The tasks of one room that would make way together."""

    room: rooms.Room
    yielding: tuple[Yielding, ...]

    @property
    def cost(self) -> float:
        """Return what making way costs; less is better."""
        return sum(one.cost for one in self.yielding)


class Clearer:
    """Finds the cheapest room to be made in one pool."""

    def __init__(
        self,
        pool_rooms: rooms.Rooms,
        shares: fairness.Shares,
        now_s: float,
    ) -> None:
        self._rooms = pool_rooms
        self._shares = shares
        self._now_s = now_s
        self._searches = 0

    def find(
        self, job: work.Job, size: hosts.Capacity, avoid: frozenset[str]
    ) -> Clearing | None:
        """Return the cheapest way to make room, None when there is none."""
        if not self._entitled(job) or self._searches >= MAX_SEARCHES:
            return None
        clearings = [
            clearing
            for room in self._rooms.sample(SAMPLE)
            if room.machine.id not in avoid and room.admits(job)
            for clearing in self._clearings(room, job, size)
        ]
        if not clearings:
            self._searches += 1
            return None
        return min(clearings, key=lambda one: one.cost)

    def _entitled(self, job: work.Job) -> bool:
        if job.kind.urgency is work.Urgency.URGENT:
            return True
        return self._now_s - job.submitted_s >= RECLAIM_S

    def _clearings(
        self, room: rooms.Room, job: work.Job, size: hosts.Capacity
    ) -> Iterator[Clearing]:
        lacking = sizes.subtract(size, room.free_soon)
        willing = self._willing(room, job, size)
        for way in (_throttled, _checkpointed):
            chosen = _choose(filter(None, map(way, willing)), lacking)
            if chosen is not None:
                yield Clearing(room, chosen)

    def _willing(
        self, room: rooms.Room, job: work.Job, size: hosts.Capacity
    ) -> list[situation.Task]:
        """Return the tasks that may make way, the first to go first."""
        level = self._shares.level(job.kind, self._shares.share(size))
        willing = [
            task
            for task in room.tasks
            if task.settled
            and self._outranks(job, task.job)
            and self._level_without(task) >= level
        ]
        return sorted(willing, key=_order)

    def _outranks(self, job: work.Job, other: work.Job) -> bool:
        if job.kind == other.kind:
            return False
        if self._now_s - job.submitted_s >= RECLAIM_S:
            return True
        return shares.rank(other.kind.urgency) > shares.rank(job.kind.urgency)

    def _level_without(self, task: situation.Task) -> float:
        share = self._shares.share(task.size)
        return self._shares.level(task.job.kind, -share)


def _choose(
    candidates: Iterator[Yielding], lacking: hosts.Capacity
) -> tuple[Yielding, ...] | None:
    """Return the first candidates that free what is lacking."""
    chosen: list[Yielding] = []
    for one in candidates:
        if sizes.within(lacking, sizes.NOTHING):
            break
        if _helps(one.freed, lacking):
            chosen.append(one)
            lacking = sizes.subtract(lacking, one.freed)
    enough = sizes.within(lacking, sizes.NOTHING)
    return tuple(chosen) if enough else None


def _order(task: situation.Task) -> tuple[int, float]:
    # The least urgent goes first, and of those the latest started.
    return (-shares.rank(task.job.kind.urgency), -task.job.started_s)


def _checkpointed(task: situation.Task) -> Yielding | None:
    if not task.movable:
        return None
    return Yielding(task, task.size, CHECKPOINT_COST)


def _throttled(task: situation.Task) -> Yielding | None:
    if task.fraction <= LEAST_FRACTION:
        return None
    kept = LEAST_FRACTION / task.fraction
    freed = hosts.Capacity(processors=task.size.processors * (1 - kept))
    return Yielding(task, freed, THROTTLE_COST)


def _helps(freed: hosts.Capacity, missing: hosts.Capacity) -> bool:
    return (
        (missing.processors > 0 and freed.processors > 0)
        or (missing.memory_mb > 0 and freed.memory_mb > 0)
        or (missing.accelerators > 0 and freed.accelerators > 0)
    )
