"""Chooses runners for tickets, and records the outcomes of requests."""

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
        rng: random.Random,
        leaving_hosts: leaving.Leaving,
    ) -> None:
        self._rng = rng
        self._leaving_hosts = leaving_hosts
        self._balancer = choice.create(preset.balancing, rng)
        self.health = health.Health(preset.ejection_cap)
        self.slots = slots.Slots(self.health, leaving_hosts)

    def set_preset(self, preset: presets.Preset) -> None:
        """Apply a preset's balancing policy and limit on ejected runners."""
        self.health.cap = preset.ejection_cap
        self._balancer = choice.create(preset.balancing, self._rng)

    def choose(
        self,
        ticket: tickets.Ticket,
        candidates: Sequence[choice.Candidate],
        now_s: float,
    ) -> str:
        """Return a host for a ticket: a candidate, or one due for a probe.

        Hosts that the ticket avoids are chosen only if there is no other.
        """
        # A probe may fail, so it is made only with idempotent requests.
        probes = self.slots.probes(now_s) if ticket.idempotent else []
        if probes and not ticket.avoid:
            self.health.probing(probes[0], now_s)
            return probes[0]
        fresh = [each for each in candidates if each.host not in ticket.avoid]
        key = '/'.join((ticket.kind.service, ticket.kind.team))
        return self._balancer.choose(fresh or candidates, key).host

    def record_outcome(
        self, grant: tickets.Grant, outcome: tickets.Outcome, now_s: float
    ) -> None:
        """Record how a request to a runner ended."""
        host, sent_s = grant.host, grant.granted_s
        match outcome:
            case tickets.Outcome.ANSWERED:
                self.slots.resume(host)
                self.health.record(host, True, sent_s, now_s)
            case tickets.Outcome.FAILED:
                self.health.record(host, False, sent_s, now_s)
            case tickets.Outcome.REFUSED:
                self.health.record(host, False, sent_s, now_s)
                self._leaving_hosts.mark(host, leaving.Sign.REFUSED, now_s)
            case tickets.Outcome.LEAVING:
                self._leaving_hosts.mark(host, leaving.Sign.ANSWERED, now_s)
            case tickets.Outcome.BUSY:
                self.slots.pause(host, now_s)
