"""The interface of admission policies, and what they have in common."""

import abc

from returns import result

from jackdawlatch.admission import limits, lines, tickets
from jackdawlatch.model import failures, presets, work

MIN_RETRY_AFTER_S = 0.1
# Service times vary: a request needs more than the mean to be in time.
MARGIN = 3


class Policy(abc.ABC):
    """The bounded queues of one service, and the order in which they go.

    ``now_s`` never goes back between calls.
    """

    def __init__(self, preset: presets.Preset, capacity: int = 0) -> None:
        self.preset = preset
        self.capacity = capacity
        self.times = limits.ServiceTimes()
        self.lines = lines.Lines()
        self._expired_by_id: dict[str, tickets.Ticket] = {}

    def offer(
        self, ticket: tickets.Ticket, now_s: float
    ) -> result.Result[None, failures.NotRun]:
        """Queue a ticket, or refuse it at once."""
        refusal = self._refusal(ticket, now_s)
        if refusal is not None:
            return result.Failure(refusal)
        self.lines.append(ticket)
        return result.Success(None)

    def next(self, now_s: float) -> tickets.Ticket | None:
        """Take out the ticket that gets the next free slot."""
        self._expired_by_id.update(self.lines.expired(now_s))
        if not self.lines:
            return None
        kind = self._choose(now_s)
        ticket = self.lines.first(kind)
        self.lines.remove(ticket.id)
        self.granted(kind, now_s)
        return ticket

    def cancel(self, ticket_id: str) -> bool:
        """Take out a ticket that is no longer wanted; whether it waited."""
        if self._expired_by_id.pop(ticket_id, None):
            return True
        return self.lines.remove(ticket_id) is not None

    def expire(self, now_s: float) -> tuple[tickets.Ticket, ...]:
        """Take out and return the tickets whose deadline has come."""
        self._expired_by_id.update(self.lines.expired(now_s))
        dropped = tuple(self._expired_by_id.values())
        self._expired_by_id.clear()
        return dropped

    def finished(
        self,
        kind: work.Kind,
        granted_s: float,
        now_s: float,
        typical: bool = True,
    ) -> None:
        """Take note that a slot is free again, and how long it was held.

        A time that is not typical, as of a refusal, leaves the estimate.
        """
        if typical:
            self.times.observe(kind, now_s - granted_s)
        self._settled(kind, granted_s, now_s)

    @abc.abstractmethod
    def granted(self, kind: work.Kind, granted_s: float) -> None:
        """Take note that a slot was given to a ticket of a kind."""

    def wait_s(self, kind: work.Kind) -> float:
        """Return how long a new ticket of a kind would wait, by estimate."""
        waiting = self.lines.length(kind)
        if not waiting:
            return 0
        slots = max(1.0, self._fair_slots(kind))
        return waiting * self.times.estimate_s(kind) / slots

    @abc.abstractmethod
    def _choose(self, now_s: float) -> work.Kind:
        """Return the kind whose oldest ticket is next; some ticket waits."""

    def _fair_slots(self, kind: work.Kind) -> float:
        """Return how many slots a kind can count on while it waits."""
        return self.capacity

    @abc.abstractmethod
    def _settled(self, kind: work.Kind, granted_s: float, now_s: float) -> None:
        """Take note that a ticket of a kind gave its slot back."""

    def _refusal(
        self, ticket: tickets.Ticket, now_s: float
    ) -> failures.NotRun | None:
        if ticket.id in self.lines:
            return tickets.DuplicateTicket(message=ticket.id)
        if ticket.deadline_s <= now_s:
            return tickets.DeadlinePassed(message='the deadline has passed')
        waiting = self.lines.length(ticket.kind)
        wait_s = self.wait_s(ticket.kind)
        retry_after_s = max(MIN_RETRY_AFTER_S, wait_s)
        if waiting >= self.preset.queue_limit:
            return tickets.QueueFull(
                message=f'{waiting} requests of this kind wait',
                retry_after_s=retry_after_s,
            )
        service_s = MARGIN * self.times.estimate_s(ticket.kind)
        # The first in line is always taken, so that estimates stay fresh.
        if waiting and now_s + wait_s + service_s > ticket.deadline_s:
            return tickets.DeadlineUnmet(
                message=f'the wait is about {wait_s:.3f} s',
                retry_after_s=retry_after_s,
            )
        return None
