"""The slot broker of one service: one queue over all entries."""

import dataclasses
import random
from collections.abc import Iterable, Iterator, Mapping

from returns import result

from jackdawlatch.admission import held, policies, runners, tickets
from jackdawlatch.model import failures, presets
from jackdawlatch.routing import leaving

# The slots of an entry that died stay counted for at most this long.
LINGER_S = 2.0
# A grant younger than this may still be on its way to its entry.
RESYNC_GRACE_S = 1.0


@dataclasses.dataclass(frozen=True)
class Turn:
    """What entries are to be told: slots given, and tickets dropped."""

    grants: tuple[tickets.Grant, ...] = ()
    dropped: tuple[tickets.Ticket, ...] = ()


class Broker:
    """Gives out the slots of the runners, one ticket at a time.

    Every method only takes note of something; ``turn`` then says what
    follows from it.  Two brokers at once are safe: a runner refuses work
    beyond its slots.  ``now_s`` is on the clock of the tickets' deadlines.
    """

    def __init__(
        self,
        preset: presets.Preset,
        random_numbers: random.Random,
        signs: leaving.Leaving | None = None,
    ) -> None:
        self.leaving = signs or leaving.Leaving()
        self.runners = runners.Runners(preset, random_numbers, self.leaving)
        self.policy = policies.create(preset)
        self.held = held.Held()
        self._again: list[tickets.Grant] = []

    def set_preset(self, preset: presets.Preset) -> None:
        """Change the policies; tickets that wait keep their order by kind."""
        former = self.policy
        self.runners.set_preset(preset)
        self.policy = policies.create(preset, former.capacity)
        self.policy.times = former.times
        for grant in self.held:
            self.policy.granted(grant.ticket.kind, grant.granted_s)
        for ticket in former.lines:
            self.policy.lines.append(ticket)

    def replace_runners(self, slots_by_host: Mapping[str, int]) -> None:
        """Replace the runners of the service and their slots."""
        self.runners.slots.set_hosts(slots_by_host)
        self.policy.capacity = sum(slots_by_host.values())

    def ask(
        self, ticket: tickets.Ticket, now_s: float
    ) -> result.Result[None, failures.NotRun]:
        """Queue a ticket for a slot, or refuse it at once.

        Asking again with the same ticket changes nothing: the grant is sent
        once more if there is one.
        """
        grant = self.held.find(ticket.id)
        if grant is not None:
            self._again.append(grant)
            return result.Success(None)
        if ticket.id in self.policy.lines:
            return result.Success(None)
        return self.policy.offer(ticket, now_s)

    def cancel(self, ticket_id: str, now_s: float) -> None:
        """Forget a ticket that is no longer wanted, or free its slot."""
        if not self.policy.cancel(ticket_id):
            self.release(ticket_id, tickets.Outcome.UNUSED, now_s)

    def release(
        self, ticket_id: str, outcome: tickets.Outcome, now_s: float
    ) -> None:
        """Free the slot of a ticket and learn from its outcome."""
        grant = self.held.find(ticket_id)
        if grant is not None:
            answered = outcome is tickets.Outcome.ANSWERED
            self._free(grant, now_s, typical=answered)
            self.runners.learn(grant, outcome, now_s)

    def resync(
        self, entry: str, reported: Iterable[tickets.Grant], now_s: float
    ) -> None:
        """Replace what is known of an entry's slots by its own report.

        Grants that it does not know are freed, unless they are so young
        that they may still be on their way to it.
        """
        reported_by_id = {grant.ticket.id: grant for grant in reported}
        for grant in self.held.of_entry(entry):
            lost = grant.ticket.id not in reported_by_id
            if lost and grant.granted_s + RESYNC_GRACE_S <= now_s:
                self._free(grant, now_s)
        for ticket_id, confirmed in reported_by_id.items():
            self.held.confirm(ticket_id)
            if self.held.find(ticket_id) is None:
                self.policy.cancel(ticket_id)
                self.policy.granted(confirmed.ticket.kind, confirmed.granted_s)
                self._hold(confirmed)

    def drop_entry(self, entry: str, now_s: float) -> None:
        """Forget an entry that is gone.

        Its runners may still work on what it sent, so each slot stays
        counted until its request should have ended, for a bounded time.
        """
        for ticket in tuple(self.policy.lines):
            if ticket.entry == entry:
                self.policy.cancel(ticket.id)
        for grant in self.held.of_entry(entry):
            expected_s = 2 * self.policy.times.estimate_s(grant.ticket.kind)
            end_s = max(now_s, grant.granted_s + expected_s)
            self.held.end_at(grant.ticket.id, min(now_s + LINGER_S, end_s))

    def turn(self, now_s: float) -> Turn:
        """Give out the free slots; return what entries are to be told."""
        for grant in self.held.ended(now_s):
            self._free(grant, now_s)
        again = tuple(self._again)
        self._again.clear()
        grants = tuple(self._grants(now_s))
        return Turn(again + grants, self.policy.expire(now_s))

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
