"""Weighted fair sharing of a pool between kinds of work.

The kind that holds the least of the pool for its weight comes next, so that
a flood of one kind, urgent or not, takes only what the others leave.
"""

import collections
import heapq
from collections.abc import Iterable

from jackdawlatch.model import hosts, shares, work
from jackdawlatch.placement import sizes


class Shares:
    """What each kind holds of one pool, as a dominant share."""

    def __init__(
        self, total: hosts.Capacity, weights_of_kinds: shares.Weights
    ) -> None:
        self._total = total
        self._weights = weights_of_kinds
        self._held_by_kind: dict[work.Kind, float] = {}

    def add(self, kind: work.Kind, size: hosts.Capacity) -> None:
        """Count a task for its kind."""
        held = self._held_by_kind.get(kind, 0)
        self._held_by_kind[kind] = held + sizes.share(size, self._total)

    def remove(self, kind: work.Kind, size: hosts.Capacity) -> None:
        """Count a task no more."""
        held = self._held_by_kind.get(kind, 0)
        self._held_by_kind[kind] = held - sizes.share(size, self._total)

    def level(self, kind: work.Kind, share: float = 0) -> float:
        """Return what a kind holds for its weight, ``share`` added."""
        held = self._held_by_kind.get(kind, 0) + share
        return held / self._weights.weight(kind)

    def share(self, size: hosts.Capacity) -> float:
        """Return the part of the pool that a size is."""
        return sizes.share(size, self._total)


class Turns:
    """The queued jobs of one pool, in the order of fair sharing."""

    def __init__(self, shares: Shares, queued: Iterable[work.Job]) -> None:
        self._shares = shares
        self._queues_by_kind: dict[work.Kind, collections.deque[work.Job]] = {}
        for job in queued:
            queue = self._queues_by_kind.setdefault(
                job.kind, collections.deque()
            )
            queue.append(job)
        kinds = enumerate(self._queues_by_kind)
        self._heap = [self._turn(kind, order) for order, kind in kinds]
        heapq.heapify(self._heap)

    def next(self) -> work.Job | None:
        """Take the next job out; None when there is none."""
        while self._heap:
            _, _, order, kind = heapq.heappop(self._heap)
            queue = self._queues_by_kind[kind]
            if queue:
                job = queue.popleft()
                self._taken = (kind, order)
                return job
        return None

    def keep_kind(self) -> None:
        """Let the kind of the job just taken have further turns."""
        kind, order = self._taken
        heapq.heappush(self._heap, self._turn(kind, order))

    def _turn(
        self, kind: work.Kind, order: int
    ) -> tuple[float, int, int, work.Kind]:
        level = self._shares.level(kind)
        return (level, shares.rank(kind.urgency), order, kind)
