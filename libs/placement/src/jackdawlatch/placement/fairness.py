"""Weighted fair sharing of a pool between kinds of jobs.

The kind that holds the least of the pool relative to its weight comes next.
So many jobs of one kind, urgent or not, get only what the other kinds leave.
"""

import collections
import heapq
from collections.abc import Iterable

from jackdawlatch.model import hosts, shares, work
from jackdawlatch.placement import sizes


class Shares:
    """Dominant share of one pool that each kind holds."""

    def __init__(
        self, total: hosts.Capacity, weights_of_kinds: shares.Weights
    ) -> None:
        self._total = total
        self._weights = weights_of_kinds
        self._held_by_kind: dict[work.Kind, float] = {}

    def add(self, kind: work.Kind, size: hosts.Capacity) -> None:
        """Add a task to its kind."""
        held = self._held_by_kind.get(kind, 0)
        self._held_by_kind[kind] = held + sizes.share(size, self._total)

    def remove(self, kind: work.Kind, size: hosts.Capacity) -> None:
        """Subtract a task from its kind."""
        held = self._held_by_kind.get(kind, 0)
        self._held_by_kind[kind] = held - sizes.share(size, self._total)

    def weighted_share(self, kind: work.Kind, share: float = 0) -> float:
        """Return the share held by a kind plus ``share``, over its weight."""
        held = self._held_by_kind.get(kind, 0) + share
        return held / self._weights.weight(kind)

    def share(self, size: hosts.Capacity) -> float:
        """Return a size as a fraction of the pool."""
        return sizes.share(size, self._total)


class FairQueue:
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
        self._heap = [self._heap_entry(kind, order) for order, kind in kinds]
        heapq.heapify(self._heap)

    def next(self) -> work.Job | None:
        """Remove and return the next job, or None when the queue is empty."""
        while self._heap:
            _, _, order, kind = heapq.heappop(self._heap)
            queue = self._queues_by_kind[kind]
            if queue:
                job = queue.popleft()
                self._last_taken = (kind, order)
                return job
        return None

    def requeue_kind(self) -> None:
        """Put the kind of the last job back into the queue."""
        kind, order = self._last_taken
        heapq.heappush(self._heap, self._heap_entry(kind, order))

    def _heap_entry(
        self, kind: work.Kind, order: int
    ) -> tuple[float, int, int, work.Kind]:
        weighted_share = self._shares.weighted_share(kind)
        return (weighted_share, shares.rank(kind.urgency), order, kind)
