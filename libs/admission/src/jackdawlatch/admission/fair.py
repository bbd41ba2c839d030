"""Weighted fair queueing over kinds of work, charged by slot-seconds held."""

from returns import result

from jackdawlatch.admission import accounts, allotments, policy, tickets
from jackdawlatch.model import failures, presets, work

# How far an urgent kind may be ahead of its share, and how far any kind may be
# in debt, in slot-seconds per weight.
URGENT_LEAD_S = 0.25
MAX_DEBT_S = 10


class Fair(policy.Policy):
    """Max-min fair allotment of slots, then start-time fair queueing.

    Each kind is allotted slots: its guaranteed share by weight, then its usual
    slots from what others leave unused, then a max-min share of the rest.
    Kinds below their allotment come first, so that a kind that floods its
    queue gives up slots one by one while others are below theirs.

    Among those, kinds are ordered by virtual time: slot-seconds used divided
    by weight, with held slots charged at the estimate or, if longer, at the
    time for which they have been held.  The most urgent kind among those close
    to the least virtual time is next, so that urgency affects the order but
    cannot take all slots.
    """

    def __init__(self, preset: presets.Preset, capacity: int = 0) -> None:
        super().__init__(preset, capacity)
        self._accounts = accounts.Accounts(preset.shares)
        self._virtual_s: float = 0

    def held(self, kind: work.Kind) -> int:
        """Return how many slots a kind holds."""
        return self._accounts.of_kind(kind).held

    def usual(self, kind: work.Kind) -> float:
        """Return the mean slots a kind held recently while none waited."""
        return self._accounts.of_kind(kind).usage.mean

    def offer(
        self, ticket: tickets.Ticket, now_s: float
    ) -> result.Result[None, failures.NotRun]:
        """Queue a ticket, or refuse it at once."""
        if not self.lines.length(ticket.kind):
            self._reactivate(ticket.kind, now_s)
        return super().offer(ticket, now_s)

    def granted(self, kind: work.Kind, granted_s: float) -> None:
        """Record that a slot was granted to a ticket of a kind."""
        account = self._accounts.of_kind(kind)
        self._record_usage(account, granted_s)
        account.held += 1
        account.started_s += granted_s

    def _choose(self, now_s: float) -> work.Kind:
        waiting = self._update_allotments()
        tags = [
            account.virtual_s(self.times.estimate_s(account.kind), now_s)
            for account in waiting
        ]
        self._virtual_s = max(self._virtual_s, min(tags))
        lead_limit = self._virtual_s + URGENT_LEAD_S
        chosen = min(
            zip(tags, waiting, strict=True),
            key=lambda each: (
                each[1].held >= each[1].allotted,
                each[0] > lead_limit,
                each[1].rank,
                each[0],
                each[1].held / each[1].weight,
            ),
        )
        return chosen[1].kind

    def _update_allotments(self) -> list[accounts.Account]:
        """Update all allotments; return accounts with waiting tickets."""
        for known_account in self._accounts:
            known_account.waiting = 0
        for kind, length in self.lines.lengths:
            self._accounts.of_kind(kind).waiting = length
        active = [each for each in self._accounts if each.held or each.waiting]
        allotted = allotments.allot(
            [each.claim() for each in active], self.capacity
        )
        for account, slots in zip(active, allotted, strict=True):
            account.allotted = slots
        return [each for each in active if each.waiting]

    def _fair_slots(self, kind: work.Kind) -> float:
        # The allotment of the last choice is accurate enough for an estimate.
        return min(self.capacity, self._accounts.of_kind(kind).allotted)

    def _reactivate(self, kind: work.Kind, now_s: float) -> None:
        # Idle time earns no credit, and the debt from borrowed slots is limited.
        account = self._accounts.of_kind(kind)
        tag = account.virtual_s(self.times.estimate_s(kind), now_s)
        latest_tag = self._virtual_s + MAX_DEBT_S
        account.tag += min(max(tag, self._virtual_s), latest_tag) - tag

    def _on_released(
        self, kind: work.Kind, granted_s: float, now_s: float
    ) -> None:
        account = self._accounts.of_kind(kind)
        self._record_usage(account, now_s)
        account.held -= 1
        account.started_s -= granted_s
        account.tag += (now_s - granted_s) / account.weight

    def _record_usage(self, account: accounts.Account, now_s: float) -> None:
        # Slots held while tickets wait do not count towards the usual number;
        # otherwise a lasting flood would become usual.
        if len(self.lines):
            account.usage.skip(now_s)
        else:
            account.usage.record(account.held, now_s)
