"""The slot broker of one service, which queues the tickets of all entries."""

import dataclasses
import random
from collections.abc import Iterable, Iterator, Mapping

from returns import result

from jackdawlatch.admission import held_slots, policies, runners, tickets
from jackdawlatch.model import failures, presets
from jackdawlatch.routing import leaving

# The slots of a lost entry stay counted as held for at most this long.
LOST_ENTRY_HOLD_S = 2.0
# An entry may not have received a grant that is younger than this.
RESYNC_GRACE_S = 1.0


@dataclasses.dataclass(frozen=True)
class Turn:
    """The result of a turn: slots granted, and tickets dropped as expired."""

    grants: tuple[tickets.Grant, ...] = ()
    dropped: tuple[tickets.Ticket, ...] = ()


class Broker:
    """Grants the slots of the runners to tickets.

    The other methods only record changes; ``turn`` grants the free slots.
    Two brokers of a service at once are safe, because a runner refuses work
    beyond its slots.  ``now_s`` is on the clock of the tickets' deadlines.
    """

    def __init__(
        self,
        preset: presets.Preset,
        rng: random.Random,
        leaving_hosts: leaving.Leaving | None = None,
    ) -> None:
        self.leaving_hosts = leaving_hosts or leaving.Leaving()
        self.runners = runners.Runners(preset, rng, self.leaving_hosts)
        self.policy = policies.create(preset)
        self.held = held_slots.HeldSlots()
        self._repeated_grants: list[tickets.Grant] = []

    def set_preset(self, preset: presets.Preset) -> None:
        """Apply a preset; waiting tickets keep their order within a kind."""
        previous = self.policy
        self.runners.set_preset(preset)
        self.policy = policies.create(preset, previous.capacity)
        self.policy.times = previous.times
        for grant in self.held:
            self.policy.granted(grant.ticket.kind, grant.granted_s)
        for ticket in previous.lines:
            self.policy.lines.append(ticket)

    def replace_runners(self, slots_by_host: Mapping[str, int]) -> None:
        """Replace the service's runners; ``slots_by_host`` is their slots."""
        self.runners.slots.set_hosts(slots_by_host)
        self.policy.capacity = sum(slots_by_host.values())

    def ask(
        self, ticket: tickets.Ticket, now_s: float
    ) -> result.Result[None, failures.NotRun]:
        """Queue a ticket for a slot, or refuse it at once.

        A repeated request for the same ticket changes nothing; if the ticket
        has a grant, that is sent again.
        """
        grant = self.held.find(ticket.id)
        if grant is not None:
            self._repeated_grants.append(grant)
            return result.Success(None)
        if ticket.id in self.policy.lines:
            return result.Success(None)
        return self.policy.offer(ticket, now_s)

    def cancel(self, ticket_id: str, now_s: float) -> None:
        """Remove a ticket from its queue, or free the slot that it holds."""
        if not self.policy.cancel(ticket_id):
            self.release(ticket_id, tickets.Outcome.UNUSED, now_s)

    def release(
        self, ticket_id: str, outcome: tickets.Outcome, now_s: float
    ) -> None:
        """Free the slot of a ticket and record the outcome for its runner."""
        grant = self.held.find(ticket_id)
        if grant is not None:
            answered = outcome is tickets.Outcome.ANSWERED
            self._free(grant, now_s, typical=answered)
            self.runners.record_outcome(grant, outcome, now_s)

    def resync(
        self, entry: str, reported: Iterable[tickets.Grant], now_s: float
    ) -> None:
        """Replace the slots counted for an entry by those that it reports.

        Grants that it does not report are freed, unless they are so recent
        that the entry may not have received them yet.
        """
        reported_by_id = {grant.ticket.id: grant for grant in reported}
        for grant in self.held.of_entry(entry):
            unreported = grant.ticket.id not in reported_by_id
            if unreported and grant.granted_s + RESYNC_GRACE_S <= now_s:
                self._free(grant, now_s)
        for ticket_id, reported_grant in reported_by_id.items():
            self.held.confirm(ticket_id)
            if self.held.find(ticket_id) is None:
                self.policy.cancel(ticket_id)
                self.policy.granted(
                    reported_grant.ticket.kind, reported_grant.granted_s
                )
                self._hold(reported_grant)

    def drop_entry(self, entry: str, now_s: float) -> None:
        """Drop the tickets of a lost entry, and free its slots later.

        Runners may still be working on its requests, so each slot stays
        counted until its request should have ended, but for a limited time.
        """
        for ticket in tuple(self.policy.lines):
            if ticket.entry == entry:
                self.policy.cancel(ticket.id)
        for grant in self.held.of_entry(entry):
            expected_s = 2 * self.policy.times.estimate_s(grant.ticket.kind)
            end_s = max(now_s, grant.granted_s + expected_s)
            self.held.set_end(
                grant.ticket.id, min(now_s + LOST_ENTRY_HOLD_S, end_s)
            )

    def turn(self, now_s: float) -> Turn:
        """Grant the free slots; return the grants and the expired tickets.

        Grants that were requested again are returned again.
        """
        for grant in self.held.expired(now_s):
            self._free(grant, now_s)
        repeated = tuple(self._repeated_grants)
        self._repeated_grants.clear()
        grants = tuple(self._grants(now_s))
        return Turn(repeated + grants, self.policy.expire(now_s))

    def _grants(self, now_s: float) -> Iterator[tickets.Grant]:
        self.policy.capacity = self.runners.slots.capacity(now_s)
        while len(self.policy.lines):
            candidates = self.runners.slots.candidates(now_s)
            ticket = self.policy.next(now_s) if candidates else None
            if ticket is None:
                return
            host = self.runners.choose(ticket, candidates, now_s)
            grant = tickets.Grant(ticket=ticket, host=host, granted_s=now_s)
            self._hold(grant)
            yield grant

    def _hold(self, grant: tickets.Grant) -> None:
        self.held.add(grant)
        self.runners.slots.take(grant.host)

    def _free(
        self, grant: tickets.Grant, now_s: float, typical: bool = False
    ) -> None:
        self.held.remove(grant.ticket.id)
        self.runners.slots.free(grant.host)
        self.policy.finished(grant.ticket.kind, grant.granted_s, now_s, typical)
