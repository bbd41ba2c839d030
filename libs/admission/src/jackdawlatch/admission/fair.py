"""Weighted fair queueing over kinds of work, charged by held slot-seconds."""

from returns import result

from jackdawlatch.admission import accounts, allotments, queues, tickets
from jackdawlatch.model import failures, presets, work

# A kind may lead or lag its share by this many slot-seconds per weight.
URGENT_LEAD_S = 0.25
MAX_DEBT_S = 10


class Fair(queues.Policy):
    """Max-min fair slots, then start-time fair queueing.

    Each kind is allotted slots: its weight's part for sure, and of what
    others leave first what it usually holds, then a max-min share.  Kinds
    below their allotment come first, so that one that floods gives way slot
    by slot while the others are short of theirs.

    Among them, each kind has a virtual time: slot-seconds used over weight,
    with held slots at the estimate or, when they take longer, at what they
    have taken.  The most urgent kind among those that are close to the least
    virtual time is next: urgency orders work and cannot own the fleet.
    """

    def __init__(self, preset: presets.Preset, capacity: int = 0) -> None:
        super().__init__(preset, capacity)
        self._accounts = accounts.Accounts(preset.shares)
        self._virtual_s: float = 0

    def held(self, kind: work.Kind) -> int:
        """Return how many slots a kind holds."""
        return self._accounts.of_kind(kind).held

    def usual(self, kind: work.Kind) -> float:
        """Return how many slots a kind held of late while nobody waited."""
        return self._accounts.of_kind(kind).usage.mean

    def offer(
        self, ticket: tickets.Ticket, now_s: float
    ) -> result.Result[None, failures.NotRun]:
        """Queue a ticket, or refuse it at once."""
        if not self.lines.length(ticket.kind):
            self._return(ticket.kind, now_s)
        return super().offer(ticket, now_s)

    def granted(self, kind: work.Kind, granted_s: float) -> None:
        """Take note that a slot was given to a ticket of a kind."""
        account = self._accounts.of_kind(kind)
        self._measure(account, granted_s)
        account.held += 1
        account.started_s += granted_s

    def _choose(self, now_s: float) -> work.Kind:
        waiting = self._update()
        tags = [
            account.virtual_s(self.times.estimate_s(account.kind), now_s)
            for account in waiting
        ]
        self._virtual_s = max(self._virtual_s, min(tags))
        latest = self._virtual_s + URGENT_LEAD_S
        chosen = min(
            zip(tags, waiting, strict=True),
            key=lambda each: (
                each[1].held >= each[1].allotted,
                each[0] > latest,
                each[1].rank,
                each[0],
                each[1].held / each[1].weight,
            ),
        )
        return chosen[1].kind

    def _update(self) -> list[accounts.Account]:
        """Bring allotments up to date; return the accounts that wait."""
        for idle in self._accounts:
            idle.waiting = 0
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
        # As of the last choice: close enough for an estimate.
        return min(self.capacity, self._accounts.of_kind(kind).allotted)

    def _return(self, kind: work.Kind, now_s: float) -> None:
        # Idle time earns no credit, and what was lent leaves no long debt.
        account = self._accounts.of_kind(kind)
        tag = account.virtual_s(self.times.estimate_s(kind), now_s)
        highest = self._virtual_s + MAX_DEBT_S
        account.tag += min(max(tag, self._virtual_s), highest) - tag

    def _settled(self, kind: work.Kind, granted_s: float, now_s: float) -> None:
        account = self._accounts.of_kind(kind)
        self._measure(account, now_s)
        account.held -= 1
        account.started_s -= granted_s
        account.tag += (now_s - granted_s) / account.weight

    def _measure(self, account: accounts.Account, now_s: float) -> None:
        # What is held while others wait is no measure of what is usual: else
        # a flood that lasts would become usual.
        if len(self.lines):
            account.usage.pass_over(now_s)
        else:
            account.usage.take(account.held, now_s)
