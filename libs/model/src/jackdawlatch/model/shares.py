"""Weights of kinds of work, taken from the shares of a preset."""

from collections.abc import Callable, Iterable

from jackdawlatch.model import presets, work

WILDCARD = '*'
DEFAULT_WEIGHT = 1.0
URGENCIES = tuple(work.Urgency)


def urgency_rank(urgency: work.Urgency) -> int:
    """Return the position of an urgency, 0 for the most urgent."""
    return URGENCIES.index(urgency)


def equal_weight(_kind: work.Kind) -> float:
    """Return the same weight for every kind."""
    return DEFAULT_WEIGHT


class Weights:
    """Finds the weight of a kind: that of the most specific share.

    Of shares with as many wildcards, the first one applies.  ``default``
    gives the weight of a kind that no share matches.
    """

    def __init__(
        self,
        shares: Iterable[presets.Share] = (),
        default: Callable[[work.Kind], float] = equal_weight,
    ) -> None:
        self._shares = sorted(shares, key=_wildcards)
        self._default = default
        self._weights_by_kind: dict[work.Kind, float] = {}

    def weight(self, kind: work.Kind) -> float:
        """Return the weight of a kind."""
        cached = self._weights_by_kind.get(kind)
        if cached is None:
            cached = self._find(kind)
            self._weights_by_kind[kind] = cached
        return cached

    def _find(self, kind: work.Kind) -> float:
        for share in self._shares:
            if _matches(share, kind):
                return share.weight
        return self._default(kind)


def _wildcards(share: presets.Share) -> int:
    return (share.service, share.team, share.urgency).count(WILDCARD)


def _matches(share: presets.Share, kind: work.Kind) -> bool:
    return (
        share.service in {WILDCARD, kind.service}
        and share.team in {WILDCARD, kind.team}
        and share.urgency in {WILDCARD, kind.urgency.value}
    )
