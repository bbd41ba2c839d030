"""The slots that entries hold, indexed by ticket."""

from collections.abc import Iterator

from jackdawlatch.admission import tickets


class HeldSlots:
    """Grants by ticket id, and the end times of those of lost entries."""

    def __init__(self) -> None:
        self._grants_by_id: dict[str, tickets.Grant] = {}
        self._ends_s_by_id: dict[str, float] = {}

    def __len__(self) -> int:
        """Return how many slots are held."""
        return len(self._grants_by_id)

    def __iter__(self) -> Iterator[tickets.Grant]:
        """Iterate over a copy, so that grants may be removed meanwhile."""
        return iter(tuple(self._grants_by_id.values()))

    def find(self, ticket_id: str) -> tickets.Grant | None:
        """Return the grant of a ticket, if it holds a slot."""
        return self._grants_by_id.get(ticket_id)

    def of_entry(self, entry: str) -> list[tickets.Grant]:
        """Return the grants of one entry."""
        return [grant for grant in self if grant.ticket.entry == entry]

    def add(self, grant: tickets.Grant) -> None:
        """Add a grant."""
        self._grants_by_id[grant.ticket.id] = grant

    def remove(self, ticket_id: str) -> None:
        """Remove a grant; raise ``KeyError`` if there is none."""
        self._grants_by_id.pop(ticket_id)
        self._ends_s_by_id.pop(ticket_id, None)

    def set_end(self, ticket_id: str, end_s: float) -> None:
        """Set the time at which a lost entry's grant ends."""
        self._ends_s_by_id[ticket_id] = end_s

    def confirm(self, ticket_id: str) -> None:
        """Cancel the end time of a grant, because its entry has reported it."""
        self._ends_s_by_id.pop(ticket_id, None)

    def expired(self, now_s: float) -> list[tickets.Grant]:
        """Return the grants of lost entries whose end time has come."""
        return [
            self._grants_by_id[ticket_id]
            for ticket_id, end_s in self._ends_s_by_id.items()
            if end_s <= now_s
        ]
