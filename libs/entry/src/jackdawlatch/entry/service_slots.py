"""The tickets and slots of this entry for one service."""

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
class WaitingTicket:
    """A ticket that waits; its deadline is on the monotonic clock.

    ``granted`` completes with the grant or a failure.
    """

    ticket: tickets.Ticket
    granted: asyncio.Future[Acquired]


class ServiceSlots:
    """Waiting tickets, held grants, and changes not yet sent to the broker.

    ``broker`` is the peer that got the last full update, or None while the
    entry uses its static share.  ``flushing`` is set while an update is
    scheduled.
    """

    def __init__(
        self, service: str, local_entry: roster.Peer, clock: clocks.Clock
    ) -> None:
        self.broker: roster.Peer | None = None
        self.flushing = False
        self.waiting_by_id: dict[str, WaitingTicket] = {}
        self.held_by_id: dict[str, tickets.Grant] = {}
        self._service = service
        self._local_entry = local_entry
        self._clock = clock
        self._unsent_ticket_ids: list[str] = []
        self._releases: list[slot_messages.Release] = []
        self._cancels: list[str] = []

    def add(self, ticket: tickets.Ticket) -> WaitingTicket:
        """Add a ticket that waits for a slot."""
        waiting = WaitingTicket(ticket, asyncio.Future())
        self.waiting_by_id[ticket.id] = waiting
        self._unsent_ticket_ids.append(ticket.id)
        return waiting

    def remove(self, waiting: WaitingTicket) -> None:
        """Remove a ticket; cancel it at the broker if it was not granted."""
        self.waiting_by_id.pop(waiting.ticket.id, None)
        if waiting.granted.cancelled() or not waiting.granted.done():
            self._cancels.append(waiting.ticket.id)

    def release(self, ticket_id: str, outcome: tickets.Outcome) -> None:
        """Release a held slot."""
        self.held_by_id.pop(ticket_id, None)
        self._releases.append(
            slot_messages.Release(ticket=ticket_id, outcome=outcome)
        )

    def pending_update(self) -> slot_messages.Update:
        """Return the changes not sent yet, and mark them as sent."""
        tickets_to_send = [
            self.waiting_by_id[ticket]
            for ticket in self._unsent_ticket_ids
            if ticket in self.waiting_by_id
        ]
        return self._update(tickets_to_send)

    def full_update(self) -> slot_messages.Update:
        """Return all waiting tickets and held slots, and mark them as sent."""
        update = self._update(list(self.waiting_by_id.values()))
        return records.replace(
            update,
            reports=_reports(self.held_by_id, self._clock.monotonic_s()),
            whole=True,
        )

    def held_update(self) -> slot_messages.Update:
        """Return the held slots only; pending changes stay pending."""
        return slot_messages.Update(
            service=self._service,
            entry=self._local_entry.id,
            address=self._local_entry.peer_address,
            reports=_reports(self.held_by_id, self._clock.monotonic_s()),
        )

    def farewell_update(self) -> slot_messages.Update:
        """Return the update that makes a former broker drop this entry."""
        return slot_messages.Update(
            service=self._service,
            entry=self._local_entry.id,
            address=self._local_entry.peer_address,
            cancels=(*self.waiting_by_id, *self.held_by_id),
            farewell=True,
        )

    def apply_news(self, news: slot_messages.News) -> None:
        """Apply the grants, refusals and expired tickets in a broker's news."""
        for given in news.given:
            self._grant(given)
        for ticket_id, message in news.refused.items():
            refused = outcomes.from_message(message)
            if isinstance(refused, result.Failure):
                self._resolve(ticket_id, refused)
        for ticket_id in news.dropped:
            self._resolve(ticket_id, deadline_passed())

    def _update(
        self, tickets_to_send: list[WaitingTicket]
    ) -> slot_messages.Update:
        now_s = self._clock.monotonic_s()
        update = slot_messages.Update(
            service=self._service,
            entry=self._local_entry.id,
            address=self._local_entry.peer_address,
            asks=tuple(
                _with_relative_deadline(each.ticket, now_s)
                for each in tickets_to_send
            ),
            releases=tuple(self._releases),
            cancels=tuple(self._cancels),
        )
        self._unsent_ticket_ids.clear()
        self._releases.clear()
        self._cancels.clear()
        return update

    def _grant(self, given: slot_messages.Given) -> None:
        if given.ticket in self.held_by_id:
            return
        waiting = self.waiting_by_id.get(given.ticket)
        if waiting is None or waiting.granted.done():
            # The cancellation crossed the grant; cancel again to return it.
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


def deadline_passed() -> Acquired:
    """Return the failure of a ticket that got no slot by its deadline."""
    return result.Failure(
        tickets.DeadlinePassed(
            message='no slot became free before the deadline'
        )
    )


def _reports(
    held_by_id: Mapping[str, tickets.Grant], now_s: float
) -> tuple[slot_messages.Report, ...]:
    return tuple(
        slot_messages.Report(
            ticket=_with_relative_deadline(grant.ticket, now_s),
            host=grant.host,
            age_s=now_s - grant.granted_s,
        )
        for grant in held_by_id.values()
    )


def _with_relative_deadline(
    ticket: tickets.Ticket, now_s: float
) -> tickets.Ticket:
    return records.replace(ticket, deadline_s=ticket.deadline_s - now_s)
