"""One service whose broker this process serves, and who uses it."""

from returns import result

from jackdawlatch.admission import broker, tickets
from jackdawlatch.entry import outcomes, slot_messages
from jackdawlatch.model import records

SILENCE_S: float = 3


class Served:
    """The broker of one service and the entries that use it.

    It gives out nothing until it is ``warm``: until it has asked what slots
    the entries hold already.
    """

    def __init__(self, allocator: broker.Broker) -> None:
        self.warm = False
        self.broker = allocator
        self.addresses_by_entry: dict[str, str] = {}
        self.heard_s_by_entry: dict[str, float] = {}

    def take(
        self, update: slot_messages.Update, now_s: float
    ) -> dict[str, outcomes.Told]:
        """Take in what an entry tells; return the tickets refused."""
        self.addresses_by_entry[update.entry] = update.address
        self.heard_s_by_entry[update.entry] = now_s
        if update.whole:
            self.hold(update, now_s)
            self._drop_unwanted(update, now_s)
        for release in update.releases:
            self.broker.release(release.ticket, release.outcome, now_s)
        for cancelled in update.cancels:
            self.broker.cancel(cancelled, now_s)
        refused: dict[str, outcomes.Told] = {}
        for asked in update.asks:
            ticket = _on_clock(asked, now_s)
            answer = self.broker.ask(ticket, now_s)
            if isinstance(answer, result.Failure):
                refused[ticket.id] = outcomes.tell(answer)
        if update.farewell:
            self.heard_s_by_entry.pop(update.entry)
            self.addresses_by_entry.pop(update.entry)
        return refused

    def drop_silent(self, now_s: float) -> None:
        """Forget the entries that were not heard of for a while."""
        for entry, heard_s in tuple(self.heard_s_by_entry.items()):
            if heard_s + SILENCE_S <= now_s:
                self.heard_s_by_entry.pop(entry)
                self.addresses_by_entry.pop(entry)
                self.broker.drop_entry(entry, now_s)

    def hold(self, update: slot_messages.Update, now_s: float) -> None:
        """Take in which slots an entry holds."""
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

    def _drop_unwanted(
        self, update: slot_messages.Update, now_s: float
    ) -> None:
        wanted = {ticket.id for ticket in update.asks}
        for ticket in tuple(self.broker.policy.lines):
            if ticket.entry == update.entry and ticket.id not in wanted:
                self.broker.cancel(ticket.id, now_s)


def _on_clock(ticket: tickets.Ticket, now_s: float) -> tickets.Ticket:
    return records.replace(ticket, deadline_s=now_s + ticket.deadline_s)
