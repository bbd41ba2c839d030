"""Deadlines of waiting tickets in a heap, the earliest first."""

import heapq
from collections.abc import Container, Iterator, Sized
from typing import Protocol

from jackdawlatch.admission import tickets

# Stale deadlines are removed once they outnumber the waiting tickets, and also
# this minimum.
SWEEP_MINIMUM = 64


class WaitingIds(Container[str], Sized, Protocol):
    """The ids of the waiting tickets."""


class Deadlines:
    """A heap of deadlines, from which removed tickets are swept lazily."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, str]] = []

    def __len__(self) -> int:
        """Return the number of deadlines, stale ones included."""
        return len(self._heap)

    def add(self, ticket: tickets.Ticket) -> None:
        """Add the deadline of a ticket."""
        heapq.heappush(self._heap, (ticket.deadline_s, ticket.id))

    def pop_passed(self, now_s: float) -> Iterator[str]:
        """Remove and yield the ids past their deadline, stale ones included."""
        while self._heap and self._heap[0][0] <= now_s:
            yield heapq.heappop(self._heap)[1]

    def sweep(self, waiting: WaitingIds) -> None:
        """Drop stale deadlines if there are many.

        The cost is amortized O(1) for each ticket removed.
        """
        stale = len(self._heap) - len(waiting)
        if stale > max(SWEEP_MINIMUM, len(waiting)):
            self._heap = [each for each in self._heap if each[1] in waiting]
            heapq.heapify(self._heap)
