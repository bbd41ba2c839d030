"""What each kind of work holds, waits for and has used."""

import dataclasses
from collections.abc import Iterable, Iterator

from jackdawlatch.admission import allotments
from jackdawlatch.admission import usage as usages
from jackdawlatch.model import presets, shares, work

# Beyond this many accounts, those of kinds without work are dropped.
MAX_ACCOUNTS = 500


# What is usual is a mean: bursts go beyond it.
HEADROOM = 1.25


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
            self.held + self.waiting, self.weight, HEADROOM * self.usage.mean
        )

    def virtual_s(self, estimate_s: float, now_s: float) -> float:
        """Return the virtual time, held slots included."""
        expected_s = self.held * estimate_s
        elapsed_s = self.held * now_s - self.started_s
        return self.tag + max(expected_s, elapsed_s) / self.weight


class Accounts:
    """The accounts of the kinds seen, with weights from the shares."""

    def __init__(self, weighted: Iterable[presets.Share]) -> None:
        self._weights = shares.Weights(weighted)
        self._accounts_by_kind: dict[work.Kind, Account] = {}

    def __iter__(self) -> Iterator[Account]:
        """Iterate over the accounts."""
        return iter(self._accounts_by_kind.values())

    def of_kind(self, kind: work.Kind) -> Account:
        """Return the account of a kind, a new one if it has none."""
        account = self._accounts_by_kind.get(kind)
        if account is None:
            self._drop_idle()
            account = Account(
                kind, self._weights.weight(kind), shares.rank(kind.urgency)
            )
            self._accounts_by_kind[kind] = account
        return account

    def _drop_idle(self) -> None:
        # Teams are named by callers: there may be any number of them.
        if len(self._accounts_by_kind) > MAX_ACCOUNTS:
            self._accounts_by_kind = {
                kind: account
                for kind, account in self._accounts_by_kind.items()
                if account.held or account.waiting
            }
