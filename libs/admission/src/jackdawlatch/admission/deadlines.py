"""Deadlines of waiting tickets, the earliest first."""

import heapq
from collections.abc import Container, Iterator, Sized
from typing import Protocol

from jackdawlatch.admission import tickets

# Stale deadlines are swept once they outnumber the tickets that wait.
SWEEP_MINIMUM = 64


class Waiting(Container[str], Sized, Protocol):
    """The ids of the tickets that wait."""


class Deadlines:
    """A heap in which deadlines of tickets gone stay for a while."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, str]] = []

    def __len__(self) -> int:
        """Return how many deadlines are kept, stale ones included."""
        return len(self._heap)

    def add(self, ticket: tickets.Ticket) -> None:
        """Keep the deadline of a ticket."""
        heapq.heappush(self._heap, (ticket.deadline_s, ticket.id))

    def passed(self, now_s: float) -> Iterator[str]:
        """Take out the ids whose deadline has come, stale ones included."""
        while self._heap and self._heap[0][0] <= now_s:
            yield heapq.heappop(self._heap)[1]

    def sweep(self, waiting: Waiting) -> None:
        """Drop stale deadlines if there are many: O(1) per ticket gone."""
        stale = len(self._heap) - len(waiting)
        if stale > max(SWEEP_MINIMUM, len(waiting)):
            self._heap = [each for each in self._heap if each[1] in waiting]
            heapq.heapify(self._heap)
