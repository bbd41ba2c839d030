"""Accounts of the slots that each kind of work holds, awaits and has used."""

import dataclasses
from collections.abc import Iterable, Iterator

from jackdawlatch.admission import allotments
from jackdawlatch.admission import usage as usages
from jackdawlatch.model import presets, shares, work

# If there are more accounts than this, those of idle kinds are dropped.
MAX_ACCOUNTS = 500


# A kind's usual number of slots is a mean, which bursts exceed.
USAGE_HEADROOM = 1.25


@dataclasses.dataclass
class Account:
    """The slot usage of one kind of work.

    ``tag`` is the kind's virtual time in slot-seconds per weight, held slots
    excluded.  ``started_s`` is the sum of the times at which its held slots
    were granted.  ``waiting`` and ``allotted`` are updated before each choice.
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
        """Return the kind's claim to the slots it holds and waits for."""
        return allotments.Claim(
            self.held + self.waiting,
            self.weight,
            USAGE_HEADROOM * self.usage.mean,
        )

    def virtual_s(self, estimate_s: float, now_s: float) -> float:
        """Return the virtual time in slot-seconds per weight.

        Held slots are charged at the estimate or, if longer, at the time for
        which they have been held.
        """
        expected_s = self.held * estimate_s
        elapsed_s = self.held * now_s - self.started_s
        return self.tag + max(expected_s, elapsed_s) / self.weight


class Accounts:
    """The accounts of the kinds seen, weighted by the configured shares."""

    def __init__(self, configured_shares: Iterable[presets.Share]) -> None:
        self._weights = shares.Weights(configured_shares)
        self._accounts_by_kind: dict[work.Kind, Account] = {}

    def __iter__(self) -> Iterator[Account]:
        """Iterate over the accounts."""
        return iter(self._accounts_by_kind.values())

    def of_kind(self, kind: work.Kind) -> Account:
        """Return the account of a kind; create one if it has none."""
        account = self._accounts_by_kind.get(kind)
        if account is None:
            self._drop_idle()
            account = Account(
                kind, self._weights.weight(kind), shares.rank(kind.urgency)
            )
            self._accounts_by_kind[kind] = account
        return account

    def _drop_idle(self) -> None:
        # Callers choose team names, so the number of kinds is unbounded.
        if len(self._accounts_by_kind) > MAX_ACCOUNTS:
            self._accounts_by_kind = {
                kind: account
                for kind, account in self._accounts_by_kind.items()
                if account.held or account.waiting
            }
