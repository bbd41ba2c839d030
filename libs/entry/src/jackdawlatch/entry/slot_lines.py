"""What this entry wants and holds of the slots of one service."""

import asyncio
import dataclasses
from collections.abc import Mapping

from returns import result

from jackdawlatch.admission import tickets
from jackdawlatch.entry import outcomes, slot_messages
from jackdawlatch.model import clocks, failures, records
from jackdawlatch.node import roster

Acquired = result.Result[tickets.Grant, failures.Problem]


@dataclasses.dataclass(frozen=True)
class Waiting:
    """A ticket that waits; its deadline is on the monotonic clock."""

    ticket: tickets.Ticket
    granted: asyncio.Future[Acquired]


class Line:
    """Tickets that wait, grants that are held, and what is yet to be told.

    ``broker`` is the peer that was last told all, none while the entry gives
    out its static share.
    """

    def __init__(
        self, service: str, own: roster.Peer, clock: clocks.Clock
    ) -> None:
        self.broker: roster.Peer | None = None
        self.flushing = False
        self.waiting_by_id: dict[str, Waiting] = {}
        self.held_by_id: dict[str, tickets.Grant] = {}
        self._service = service
        self._own = own
        self._clock = clock
        self._asks: list[str] = []
        self._releases: list[slot_messages.Release] = []
        self._cancels: list[str] = []

    def want(self, ticket: tickets.Ticket) -> Waiting:
        """Put a ticket among those that wait."""
        waiting = Waiting(ticket, asyncio.Future())
        self.waiting_by_id[ticket.id] = waiting
        self._asks.append(ticket.id)
        return waiting

    def settle(self, waiting: Waiting) -> None:
        """Take a ticket out; nobody waits for it any longer."""
        self.waiting_by_id.pop(waiting.ticket.id, None)
        if waiting.granted.cancelled() or not waiting.granted.done():
            self._cancels.append(waiting.ticket.id)

    def release(self, ticket_id: str, outcome: tickets.Outcome) -> None:
        """Give back a slot that is held."""
        self.held_by_id.pop(ticket_id, None)
        self._releases.append(
            slot_messages.Release(ticket=ticket_id, outcome=outcome)
        )

    def changes(self) -> slot_messages.Update:
        """Return what was not told yet, which then counts as told."""
        asked = [
            self.waiting_by_id[ticket]
            for ticket in self._asks
            if ticket in self.waiting_by_id
        ]
        return self._update(asked)

    def everything(self) -> slot_messages.Update:
        """Return all that is wanted and held, which then counts as told."""
        update = self._update(list(self.waiting_by_id.values()))
        return records.replace(
            update,
            reports=_reports(self.held_by_id, self._clock.monotonic_s()),
            whole=True,
        )

    def held(self) -> slot_messages.Update:
        """Return the slots that are held, and nothing of what is untold."""
        return slot_messages.Update(
            service=self._service,
            entry=self._own.id,
            address=self._own.peer_address,
            reports=_reports(self.held_by_id, self._clock.monotonic_s()),
        )

    def farewell(self) -> slot_messages.Update:
        """Return what makes a former broker forget this entry."""
        return slot_messages.Update(
            service=self._service,
            entry=self._own.id,
            address=self._own.peer_address,
            cancels=(*self.waiting_by_id, *self.held_by_id),
            farewell=True,
        )

    def take(self, news: slot_messages.News) -> None:
        """Take in what a broker says."""
        for given in news.given:
            self._grant(given)
        for ticket_id, told in news.refused.items():
            refused = outcomes.heard(told)
            if isinstance(refused, result.Failure):
                self._resolve(ticket_id, refused)
        for ticket_id in news.dropped:
            self._resolve(ticket_id, expired())

    def _update(self, asked: list[Waiting]) -> slot_messages.Update:
        now_s = self._clock.monotonic_s()
        update = slot_messages.Update(
            service=self._service,
            entry=self._own.id,
            address=self._own.peer_address,
            asks=tuple(_relative(each.ticket, now_s) for each in asked),
            releases=tuple(self._releases),
            cancels=tuple(self._cancels),
        )
        self._asks.clear()
        self._releases.clear()
        self._cancels.clear()
        return update

    def _grant(self, given: slot_messages.Given) -> None:
        if given.ticket in self.held_by_id:
            return
        waiting = self.waiting_by_id.get(given.ticket)
        if waiting is None or waiting.granted.done():
            # Its cancellation and the grant have crossed.
            self._cancels.append(given.ticket)
            return
        grant = tickets.Grant(
            ticket=waiting.ticket,
            host=given.host,
            granted_s=self._clock.monotonic_s(),
        )
        self.held_by_id[given.ticket] = grant
        waiting.granted.set_result(result.Success(grant))

    def _resolve(self, ticket_id: str, outcome: Acquired) -> None:
        waiting = self.waiting_by_id.get(ticket_id)
        if waiting and not waiting.granted.done():
            waiting.granted.set_result(outcome)


def expired() -> Acquired:
    """Return the failure of a ticket whose deadline came first."""
    return result.Failure(
        tickets.DeadlinePassed(message='no slot was free in time')
    )


def _reports(
    held_by_id: Mapping[str, tickets.Grant], now_s: float
) -> tuple[slot_messages.Report, ...]:
    return tuple(
        slot_messages.Report(
            ticket=_relative(grant.ticket, now_s),
            host=grant.host,
            age_s=now_s - grant.granted_s,
        )
        for grant in held_by_id.values()
    )


def _relative(ticket: tickets.Ticket, now_s: float) -> tickets.Ticket:
    return records.replace(ticket, deadline_s=ticket.deadline_s - now_s)
