"""Weighted fair queueing over kinds of work, charged by held slot-seconds."""

import dataclasses

from returns import result

from jackdawlatch.admission import allotments, queues, shares, tickets
from jackdawlatch.model import failures, presets, work

# A kind may lead or lag its share by this many slot-seconds per weight.
URGENT_LEAD_S = 0.25
MAX_DEBT_S = 10


@dataclasses.dataclass
class Account:
    """What a kind has used: ``tag`` is its virtual time without held slots.

    ``started_s`` is the sum of the times at which its held slots were
    granted.
    """

    weight: float
    tag: float = 0
    started_s: float = 0


class Fair(queues.Policy):
    """Max-min fair slots, then start-time fair queueing.

    A kind may hold its max-min share of the slots, given what all kinds
    hold and wait for.  Kinds below their share come first, so that one that
    floods gives way slot by slot while the others are short of theirs.

    Among them, each kind has a virtual time: slot-seconds used over weight,
    with held slots at the estimate or, when they take longer, at what they
    have taken.  The most urgent kind among those that are close to the least
    virtual time is next: urgency orders work and cannot own the fleet.
    """

    def __init__(self, preset: presets.Preset, capacity: int = 0) -> None:
        super().__init__(preset, capacity)
        self._weights = shares.Weights(preset.shares)
        self._accounts_by_kind: dict[work.Kind, Account] = {}
        self._virtual_s: float = 0

    def offer(
        self, ticket: tickets.Ticket, now_s: float
    ) -> result.Result[None, failures.NotRun]:
        """Queue a ticket, or refuse it at once."""
        if not self.lines.length(ticket.kind):
            self._return(ticket.kind, now_s)
        return super().offer(ticket, now_s)

    def granted(self, kind: work.Kind, granted_s: float) -> None:
        """Take note that a slot was given to a ticket of a kind."""
        super().granted(kind, granted_s)
        account = self._account(kind)
        account.started_s += granted_s

    def _choose(self, now_s: float) -> work.Kind:
        level = self._level()
        tags_by_kind = {
            kind: self._tag(kind, now_s) for kind in self.lines.kinds
        }
        self._virtual_s = max(self._virtual_s, min(tags_by_kind.values()))
        latest = self._virtual_s + URGENT_LEAD_S
        return min(
            tags_by_kind,
            key=lambda kind: (
                self._held_level(kind) >= level,
                tags_by_kind[kind] > latest,
                shares.rank(kind),
                tags_by_kind[kind],
                self._held_level(kind),
            ),
        )

    def _fair_slots(self, kind: work.Kind) -> float:
        share = self._level(kind) * self._account(kind).weight
        return min(self.capacity, share)

    def _level(self, coming: work.Kind | None = None) -> float:
        kinds = {*self.lines.kinds, *self.held_by_kind}
        if coming is not None:
            kinds.add(coming)
        return allotments.water_level(
            (
                allotments.Demand(
                    slots=self.held_by_kind[kind]
                    + self.lines.length(kind)
                    + (kind == coming),
                    weight=self._account(kind).weight,
                )
                for kind in kinds
            ),
            self.capacity,
        )

    def _held_level(self, kind: work.Kind) -> float:
        return self.held_by_kind[kind] / self._account(kind).weight

    def _return(self, kind: work.Kind, now_s: float) -> None:
        # Idle time earns no credit, and what was lent leaves no long debt.
        account = self._account(kind)
        tag = self._tag(kind, now_s)
        lowest = self._virtual_s
        highest = lowest + MAX_DEBT_S
        account.tag += min(max(tag, lowest), highest) - tag

    def _settled(self, kind: work.Kind, granted_s: float, now_s: float) -> None:
        super()._settled(kind, granted_s, now_s)
        account = self._account(kind)
        account.started_s -= granted_s
        account.tag += (now_s - granted_s) / account.weight

    def _tag(self, kind: work.Kind, now_s: float) -> float:
        account = self._account(kind)
        held = self.held_by_kind[kind]
        expected_s = held * self.times.estimate_s(kind)
        elapsed_s = held * now_s - account.started_s
        return account.tag + max(expected_s, elapsed_s) / account.weight

    def _account(self, kind: work.Kind) -> Account:
        account = self._accounts_by_kind.get(kind)
        if account is None:
            account = Account(weight=self._weights.weight(kind))
            account.tag = self._virtual_s
            self._accounts_by_kind[kind] = account
        return account
