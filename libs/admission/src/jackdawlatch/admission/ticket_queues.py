"""FIFO queues of tickets, one for each kind of work."""

import collections
import dataclasses
import itertools
from collections.abc import Iterator

from jackdawlatch.admission import deadlines, tickets
from jackdawlatch.model import work

TicketQueue = collections.OrderedDict[str, tickets.Ticket]


@dataclasses.dataclass(frozen=True)
class QueuePosition:
    """The queue of a ticket, and its arrival number over all queues."""

    kind: work.Kind
    number: int


class TicketQueues:
    """Tickets in arrival order by kind; removal by id takes O(1)."""

    def __init__(self) -> None:
        self._queues_by_kind: dict[work.Kind, TicketQueue] = {}
        self._positions_by_id: dict[str, QueuePosition] = {}
        self._numbers = itertools.count()
        self._deadlines = deadlines.Deadlines()

    def __len__(self) -> int:
        """Return the number of waiting tickets of all kinds."""
        return len(self._positions_by_id)

    def __contains__(self, ticket_id: str) -> bool:
        """Return whether a ticket is in a queue."""
        return ticket_id in self._positions_by_id

    def __iter__(self) -> Iterator[tickets.Ticket]:
        """Iterate over the tickets, kind by kind."""
        for queue in self._queues_by_kind.values():
            yield from queue.values()

    @property
    def lengths(self) -> Iterator[tuple[work.Kind, int]]:
        """The kinds with waiting tickets, and the number of those."""
        for kind, queue in self._queues_by_kind.items():
            yield kind, len(queue)

    def length(self, kind: work.Kind) -> int:
        """Return the number of waiting tickets of a kind."""
        return len(self._queues_by_kind.get(kind, ()))

    def append(self, ticket: tickets.Ticket) -> None:
        """Append a ticket to the queue of its kind."""
        queue = self._queues_by_kind.setdefault(
            ticket.kind, collections.OrderedDict()
        )
        queue[ticket.id] = ticket
        self._positions_by_id[ticket.id] = QueuePosition(
            kind=ticket.kind, number=next(self._numbers)
        )
        self._deadlines.add(ticket)

    def first(self, kind: work.Kind) -> tickets.Ticket:
        """Return the oldest ticket of a kind; ``KeyError`` if none waits."""
        return next(iter(self._queues_by_kind[kind].values()))

    def number(self, kind: work.Kind) -> int:
        """Return the arrival number of a kind's oldest ticket.

        Raises ``KeyError`` if none waits.
        """
        return self._positions_by_id[self.first(kind).id].number

    def remove(self, ticket_id: str) -> tickets.Ticket | None:
        """Remove a ticket from its queue; return None if it is in none."""
        position = self._positions_by_id.pop(ticket_id, None)
        if position is None:
            return None
        queue = self._queues_by_kind[position.kind]
        ticket = queue.pop(ticket_id)
        if not queue:
            self._queues_by_kind.pop(position.kind)
        self._deadlines.sweep(self._positions_by_id)
        return ticket

    def pop_expired(self, now_s: float) -> Iterator[tuple[str, tickets.Ticket]]:
        """Remove and yield the tickets past their deadline, with their ids."""
        for ticket_id in self._deadlines.pop_passed(now_s):
            ticket = self.remove(ticket_id)
            if ticket is not None:
                yield ticket_id, ticket
