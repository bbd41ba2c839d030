"""The broker of one service, and the entries that use it."""

from returns import result

from jackdawlatch.admission import broker, tickets
from jackdawlatch.entry import outcomes, slot_messages
from jackdawlatch.model import records

ENTRY_TIMEOUT_S: float = 3


class ServedService:
    """The broker of one service and the entries that use it.

    It grants nothing until it is ``warm``, that is, until it has collected
    which slots the entries hold already.
    """

    def __init__(self, slot_broker: broker.Broker) -> None:
        self.warm = False
        self.broker = slot_broker
        self.addresses_by_entry: dict[str, str] = {}
        self.last_update_s_by_entry: dict[str, float] = {}

    def apply(
        self, update: slot_messages.Update, now_s: float
    ) -> dict[str, outcomes.Told]:
        """Apply an entry's update; return the failures of refused tickets."""
        self.addresses_by_entry[update.entry] = update.address
        self.last_update_s_by_entry[update.entry] = now_s
        if update.whole:
            self.resync(update, now_s)
            self._cancel_absent(update, now_s)
        for release in update.releases:
            self.broker.release(release.ticket, release.outcome, now_s)
        for ticket_id in update.cancels:
            self.broker.cancel(ticket_id, now_s)
        refused: dict[str, outcomes.Told] = {}
        for sent_ticket in update.asks:
            ticket = _with_local_deadline(sent_ticket, now_s)
            answer = self.broker.request_slot(ticket, now_s)
            if isinstance(answer, result.Failure):
                refused[ticket.id] = outcomes.to_message(answer)
        if update.farewell:
            self.last_update_s_by_entry.pop(update.entry)
            self.addresses_by_entry.pop(update.entry)
        return refused

    def drop_silent_entries(self, now_s: float) -> None:
        """Drop the entries that sent no update for ``ENTRY_TIMEOUT_S``."""
        for entry, last_update_s in tuple(self.last_update_s_by_entry.items()):
            if last_update_s + ENTRY_TIMEOUT_S <= now_s:
                self.last_update_s_by_entry.pop(entry)
                self.addresses_by_entry.pop(entry)
                self.broker.drop_entry(entry, now_s)

    def resync(self, update: slot_messages.Update, now_s: float) -> None:
        """Set which slots an entry holds."""
        self.broker.resync(
            update.entry,
            [
                tickets.Grant(
                    ticket=report.ticket,
                    host=report.host,
                    granted_s=now_s - report.age_s,
                )
                for report in update.reports
            ],
            now_s,
        )

    def _cancel_absent(
        self, update: slot_messages.Update, now_s: float
    ) -> None:
        requested_ids = {ticket.id for ticket in update.asks}
        for ticket in tuple(self.broker.policy.queues):
            if ticket.entry == update.entry and ticket.id not in requested_ids:
                self.broker.cancel(ticket.id, now_s)


def _with_local_deadline(
    ticket: tickets.Ticket, now_s: float
) -> tickets.Ticket:
    return records.replace(ticket, deadline_s=now_s + ticket.deadline_s)
