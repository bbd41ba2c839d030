"""The base class of admission policies."""

import abc

from returns import result

from jackdawlatch.admission import limits, ticket_queues, tickets
from jackdawlatch.model import failures, presets, work

MIN_RETRY_AFTER_S = 0.1
# Service times vary, so a request is admitted only if this many times the mean
# fits before its deadline.
SERVICE_TIME_MARGIN = 3


class Policy(abc.ABC):
    """The bounded ticket queues of one service, and the order of service.

    ``capacity`` is the number of slots.  ``now_s`` must not decrease from call
    to call.
    """

    def __init__(self, preset: presets.Preset, capacity: int = 0) -> None:
        self.preset = preset
        self.capacity = capacity
        self.times = limits.ServiceTimes()
        self.lines = ticket_queues.TicketQueues()
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
        """Remove and return the next ticket to get a slot; None if none waits.

        The slot counts as granted.
        """
        self._expired_by_id.update(self.lines.pop_expired(now_s))
        if not self.lines:
            return None
        kind = self._choose(now_s)
        ticket = self.lines.first(kind)
        self.lines.remove(ticket.id)
        self.granted(kind, now_s)
        return ticket

    def cancel(self, ticket_id: str) -> bool:
        """Remove a ticket; return whether it was waiting or just expired."""
        if self._expired_by_id.pop(ticket_id, None):
            return True
        return self.lines.remove(ticket_id) is not None

    def expire(self, now_s: float) -> tuple[tickets.Ticket, ...]:
        """Remove and return the tickets whose deadline has passed."""
        self._expired_by_id.update(self.lines.pop_expired(now_s))
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
        """Record that a slot was released, and for how long it was held.

        A time that is not ``typical``, such as that of a refused request, does
        not change the estimate.
        """
        if typical:
            self.times.observe(kind, now_s - granted_s)
        self._on_released(kind, granted_s, now_s)

    @abc.abstractmethod
    def granted(self, kind: work.Kind, granted_s: float) -> None:
        """Record that a slot was granted to a ticket of a kind."""

    def wait_s(self, kind: work.Kind) -> float:
        """Return the estimated seconds that a new ticket would wait."""
        waiting = self.lines.length(kind)
        if not waiting:
            return 0
        slots = max(1.0, self._fair_slots(kind))
        return waiting * self.times.estimate_s(kind) / slots

    @abc.abstractmethod
    def _choose(self, now_s: float) -> work.Kind:
        """Return the kind whose oldest ticket is next.

        It is called only while some ticket waits.
        """

    def _fair_slots(self, kind: work.Kind) -> float:
        """Return how many slots serve a kind that has tickets waiting."""
        return self.capacity

    @abc.abstractmethod
    def _on_released(
        self, kind: work.Kind, granted_s: float, now_s: float
    ) -> None:
        """Record that a ticket of a kind has released its slot."""

    def _refusal(
        self, ticket: tickets.Ticket, now_s: float
    ) -> failures.NotRun | None:
        if ticket.id in self.lines:
            return tickets.DuplicateTicket(message=ticket.id)
        if ticket.deadline_s <= now_s:
            return tickets.DeadlinePassed(
                message='the deadline passed before the request was queued'
            )
        waiting = self.lines.length(ticket.kind)
        wait_s = self.wait_s(ticket.kind)
        retry_after_s = max(MIN_RETRY_AFTER_S, wait_s)
        if waiting >= self.preset.queue_limit:
            return tickets.QueueFull(
                message=f'the queue is full: {waiting} requests wait in it',
                retry_after_s=retry_after_s,
            )
        service_s = SERVICE_TIME_MARGIN * self.times.estimate_s(ticket.kind)
        # A ticket is always admitted to an empty queue; otherwise estimates
        # that are too high would never be corrected.
        if waiting and now_s + wait_s + service_s > ticket.deadline_s:
            return tickets.DeadlineUnmet(
                message=(
                    f'the estimated wait of {wait_s:.3f} s is too long '
                    'for the deadline'
                ),
                retry_after_s=retry_after_s,
            )
        return None
