"""Messages between entries and the slot broker of a service.

Deadlines and ages are relative, in seconds, as clocks of hosts may differ.
"""

from jackdawlatch.admission import tickets
from jackdawlatch.entry import outcomes
from jackdawlatch.model import records


class Release(records.Record, frozen=True, kw_only=True):
    """A slot is released, with how its use ended."""

    ticket: str
    outcome: tickets.Outcome


class Report(records.Record, frozen=True, kw_only=True):
    """A slot that the sender holds, granted ``age_s`` seconds ago."""

    ticket: tickets.Ticket
    host: str
    age_s: float


class Update(records.Record, frozen=True, kw_only=True):
    """The changes at an entry.

    The deadlines of ``asks`` are the seconds left.  If ``whole`` is set,
    ``asks`` and ``reports`` list all waiting tickets and held slots of the
    entry.  If ``farewell`` is set, the entry has changed to another broker.
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
    """A new broker requests the slots that the receiver holds."""

    service: str


class Given(records.Record, frozen=True, kw_only=True):
    """A slot granted to a ticket."""

    ticket: str
    host: str


class News(records.Record, frozen=True, kw_only=True):
    """An update from a broker to an entry.

    ``given`` are grants, ``refused`` the failures of tickets not accepted and
    ``dropped`` the tickets whose deadline has passed.
    """

    service: str
    given: tuple[Given, ...] = ()
    refused: dict[str, outcomes.Told] = {}
    dropped: tuple[str, ...] = ()


class Noted(records.Record, frozen=True, kw_only=True):
    """The reply to ``News``."""
