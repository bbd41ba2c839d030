"""First-in first-out lines of tickets, one per kind of work."""

import collections
import dataclasses
import itertools
from collections.abc import Iterator

from jackdawlatch.admission import deadlines, tickets
from jackdawlatch.model import work

Line = collections.OrderedDict[str, tickets.Ticket]


@dataclasses.dataclass(frozen=True)
class Place:
    """Where a ticket stands: ``number`` grows with each arrival."""

    kind: work.Kind
    number: int


class Lines:
    """Tickets in arrival order per kind; removal by id takes O(1)."""

    def __init__(self) -> None:
        self._lines_by_kind: dict[work.Kind, Line] = {}
        self._places_by_id: dict[str, Place] = {}
        self._numbers = itertools.count()
        self._deadlines = deadlines.Deadlines()

    def __len__(self) -> int:
        """Return how many tickets wait in all."""
        return len(self._places_by_id)

    def __contains__(self, ticket_id: str) -> bool:
        """Return whether a ticket waits."""
        return ticket_id in self._places_by_id

    def __iter__(self) -> Iterator[tickets.Ticket]:
        """Iterate over the tickets, kind by kind."""
        for line in self._lines_by_kind.values():
            yield from line.values()

    @property
    def lengths(self) -> Iterator[tuple[work.Kind, int]]:
        """The kinds that have a ticket waiting, and how many they have."""
        for kind, line in self._lines_by_kind.items():
            yield kind, len(line)

    def length(self, kind: work.Kind) -> int:
        """Return how many tickets of a kind wait."""
        return len(self._lines_by_kind.get(kind, ()))

    def append(self, ticket: tickets.Ticket) -> None:
        """Put a ticket at the end of the line of its kind."""
        line = self._lines_by_kind.setdefault(
            ticket.kind, collections.OrderedDict()
        )
        line[ticket.id] = ticket
        self._places_by_id[ticket.id] = Place(
            kind=ticket.kind, number=next(self._numbers)
        )
        self._deadlines.add(ticket)

    def first(self, kind: work.Kind) -> tickets.Ticket:
        """Return the oldest ticket of a kind that has one waiting."""
        return next(iter(self._lines_by_kind[kind].values()))

    def number(self, kind: work.Kind) -> int:
        """Return the arrival number of the oldest ticket of a kind."""
        return self._places_by_id[self.first(kind).id].number

    def remove(self, ticket_id: str) -> tickets.Ticket | None:
        """Take out a ticket, wherever it stands in its line."""
        place = self._places_by_id.pop(ticket_id, None)
        if place is None:
            return None
        line = self._lines_by_kind[place.kind]
        ticket = line.pop(ticket_id)
        if not line:
            self._lines_by_kind.pop(place.kind)
        self._deadlines.sweep(self._places_by_id)
        return ticket

    def expired(self, now_s: float) -> Iterator[tuple[str, tickets.Ticket]]:
        """Take out every ticket whose deadline has come, with its id."""
        for ticket_id in self._deadlines.passed(now_s):
            ticket = self.remove(ticket_id)
            if ticket is not None:
                yield ticket_id, ticket
