"""Weighted fair queueing over kinds of work, charged by held slot-seconds."""

import dataclasses

from returns import result

from jackdawlatch.admission import allotments, queues, shares, tickets
from jackdawlatch.admission import usage as usages
from jackdawlatch.model import failures, presets, work

# A kind may lead or lag its share by this many slot-seconds per weight.
URGENT_LEAD_S = 0.25
MAX_DEBT_S = 10


# Beyond this many accounts, those of kinds without work are dropped.
MAX_ACCOUNTS = 500


@dataclasses.dataclass
class Account:
    """What a kind has used: ``tag`` is its virtual time without held slots.

    ``started_s`` is the sum of the times at which its held slots were
    granted; ``waiting`` is brought up to date before each choice.
    """

    kind: work.Kind
    weight: float
    rank: int
    tag: float = 0
    held: int = 0
    started_s: float = 0
    waiting: int = 0
    allotted: float = float('inf')
    usage: usages.Usage = dataclasses.field(default_factory=usages.Usage)

    def claim(self) -> allotments.Claim:
        """Return the slots that the kind holds and waits for."""
        return allotments.Claim(
            self.held + self.waiting, self.weight, self.usage.mean
        )

    def virtual_s(self, estimate_s: float, now_s: float) -> float:
        """Return the virtual time, held slots included."""
        expected_s = self.held * estimate_s
        elapsed_s = self.held * now_s - self.started_s
        return self.tag + max(expected_s, elapsed_s) / self.weight


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
        self._weights = shares.Weights(preset.shares)
        self._accounts_by_kind: dict[work.Kind, Account] = {}
        self._virtual_s: float = 0

    def held(self, kind: work.Kind) -> int:
        """Return how many slots a kind holds."""
        return self._account(kind).held

    def offer(
        self, ticket: tickets.Ticket, now_s: float
    ) -> result.Result[None, failures.NotRun]:
        """Queue a ticket, or refuse it at once."""
        if not self.lines.length(ticket.kind):
            self._return(ticket.kind, now_s)
        return super().offer(ticket, now_s)

    def granted(self, kind: work.Kind, granted_s: float) -> None:
        """Take note that a slot was given to a ticket of a kind."""
        account = self._account(kind)
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

    def _update(self) -> list[Account]:
        """Bring allotments up to date; return the accounts that wait."""
        for idle in self._accounts_by_kind.values():
            idle.waiting = 0
        for kind, length in self.lines.lengths:
            self._account(kind).waiting = length
        accounts = [
            each
            for each in self._accounts_by_kind.values()
            if each.held or each.waiting
        ]
        allotted = allotments.allot(
            [each.claim() for each in accounts], self.capacity
        )
        for account, slots in zip(accounts, allotted, strict=True):
            account.allotted = slots
        return [each for each in accounts if each.waiting]

    def _fair_slots(self, kind: work.Kind) -> float:
        # As of the last choice: close enough for an estimate.
        return min(self.capacity, self._account(kind).allotted)

    def _return(self, kind: work.Kind, now_s: float) -> None:
        # Idle time earns no credit, and what was lent leaves no long debt.
        account = self._account(kind)
        tag = account.virtual_s(self.times.estimate_s(kind), now_s)
        highest = self._virtual_s + MAX_DEBT_S
        account.tag += min(max(tag, self._virtual_s), highest) - tag

    def _settled(self, kind: work.Kind, granted_s: float, now_s: float) -> None:
        account = self._account(kind)
        self._measure(account, now_s)
        account.held -= 1
        account.started_s -= granted_s
        account.tag += (now_s - granted_s) / account.weight

    def _measure(self, account: Account, now_s: float) -> None:
        # What is held while others wait is no measure of what is usual: else
        # a flood that lasts would become usual.
        if len(self.lines):
            account.usage.pass_over(now_s)
        else:
            account.usage.take(account.held, now_s)

    def _account(self, kind: work.Kind) -> Account:
        account = self._accounts_by_kind.get(kind)
        if account is None:
            self._drop_idle()
            account = Account(
                kind, self._weights.weight(kind), shares.rank(kind)
            )
            account.tag = self._virtual_s
            self._accounts_by_kind[kind] = account
        return account

    def _drop_idle(self) -> None:
        # Teams are named by callers: there may be any number of them.
        if len(self._accounts_by_kind) > MAX_ACCOUNTS:
            self._accounts_by_kind = {
                kind: account
                for kind, account in self._accounts_by_kind.items()
                if account.held or self.lines.length(kind)
            }
