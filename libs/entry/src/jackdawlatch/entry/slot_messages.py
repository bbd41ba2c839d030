"""What entries and the slot broker of a service send each other.

Deadlines and ages are relative, in seconds: each side has its own clock.
"""

from jackdawlatch.admission import tickets
from jackdawlatch.entry import outcomes
from jackdawlatch.model import records


class Release(records.Record, frozen=True, kw_only=True):
    """A slot is free again."""

    ticket: str
    outcome: tickets.Outcome


class Report(records.Record, frozen=True, kw_only=True):
    """A slot that the sender holds, granted ``age_s`` seconds ago."""

    ticket: tickets.Ticket
    host: str
    age_s: float


class Update(records.Record, frozen=True, kw_only=True):
    """What changed at an entry.

    The deadlines of ``asks`` are the seconds that are left.  With
    ``whole`` set, ``asks`` and ``reports`` are all that the entry waits for
    and holds.  With ``farewell`` set, it has gone over to another broker.
    """

    service: str
    entry: str
    address: str
    asks: tuple[tickets.Ticket, ...] = ()
    releases: tuple[Release, ...] = ()
    cancels: tuple[str, ...] = ()
    reports: tuple[Report, ...] = ()
    whole: bool = False
    farewell: bool = False


class Collect(records.Record, frozen=True, kw_only=True):
    """A new broker asks what slots the receiver holds."""

    service: str


class Given(records.Record, frozen=True, kw_only=True):
    """A slot for a ticket."""

    ticket: str
    host: str


class News(records.Record, frozen=True, kw_only=True):
    """What a broker tells an entry."""

    service: str
    given: tuple[Given, ...] = ()
    refused: dict[str, outcomes.Told] = {}
    dropped: tuple[str, ...] = ()


class Noted(records.Record, frozen=True, kw_only=True):
    """The reply to news."""
