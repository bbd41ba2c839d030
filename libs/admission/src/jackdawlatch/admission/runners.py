"""Choice of a runner for a ticket, and what its outcome teaches."""

import random
from collections.abc import Sequence

from jackdawlatch.admission import slots, tickets
from jackdawlatch.model import presets
from jackdawlatch.routing import choice, health, leaving


class Runners:
    """The runners of one service, as its broker sees them."""

    def __init__(
        self,
        preset: presets.Preset,
        random_numbers: random.Random,
        signs: leaving.Leaving,
    ) -> None:
        self._random = random_numbers
        self._leaving = signs
        self._balancer = choice.create(preset.balancing, random_numbers)
        self.health = health.Health(preset.ejection_cap)
        self.slots = slots.Slots(self.health, signs)

    def set_preset(self, preset: presets.Preset) -> None:
        """Change the balancing policy and the bound on ejection."""
        self.health.cap = preset.ejection_cap
        self._balancer = choice.create(preset.balancing, self._random)

    def choose(
        self,
        ticket: tickets.Ticket,
        candidates: Sequence[choice.Candidate],
        now_s: float,
    ) -> str:
        """Return the host for a ticket, of candidates or due for a probe."""
        # A probe may fail, so only work that can be sent again is risked.
        probes = self.slots.probes(now_s) if ticket.idempotent else []
        if probes and not ticket.avoid:
            self.health.probing(probes[0], now_s)
            return probes[0]
        fresh = [each for each in candidates if each.host not in ticket.avoid]
        key = '/'.join((ticket.kind.service, ticket.kind.team))
        return self._balancer.choose(fresh or candidates, key).host

    def learn(
        self, grant: tickets.Grant, outcome: tickets.Outcome, now_s: float
    ) -> None:
        """Take note of how a request to a runner ended."""
        host, sent_s = grant.host, grant.granted_s
        match outcome:
            case tickets.Outcome.ANSWERED:
                self.slots.resume(host)
                self.health.record(host, True, sent_s, now_s)
            case tickets.Outcome.FAILED:
                self.health.record(host, False, sent_s, now_s)
            case tickets.Outcome.REFUSED:
                self.health.record(host, False, sent_s, now_s)
                self._leaving.mark(host, leaving.Sign.REFUSED, now_s)
            case tickets.Outcome.LEAVING:
                self._leaving.mark(host, leaving.Sign.ANSWERED, now_s)
            case tickets.Outcome.BUSY:
                self.slots.pause(host, now_s)
