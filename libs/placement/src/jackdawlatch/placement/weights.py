"""Weights of kinds of work, from the shares of the preset in force."""

import types
from collections.abc import Iterable

from jackdawlatch.model import presets, work

ANY = '*'
DEFAULT_WEIGHTS_BY_URGENCY = types.MappingProxyType(
    {
        work.Urgency.URGENT: 4.0,
        work.Urgency.NORMAL: 2.0,
        work.Urgency.BATCH: 1.0,
    }
)
URGENCIES = tuple(work.Urgency)


class Weights:
    """Finds the weight of a kind: the most specific share wins.

    Of two shares with as many names given, the earlier wins.  A kind that
    no share names is weighed by its urgency.
    """

    def __init__(self, shares: Iterable[presets.Share] = ()) -> None:
        self._shares = sorted(shares, key=_wildcards)
        self._weights_by_kind: dict[work.Kind, float] = {}

    def weight(self, kind: work.Kind) -> float:
        """Return the weight of a kind."""
        known = self._weights_by_kind.get(kind)
        if known is None:
            known = self._find(kind)
            self._weights_by_kind[kind] = known
        return known

    def _find(self, kind: work.Kind) -> float:
        for share in self._shares:
            if _matches(share, kind):
                return share.weight
        return DEFAULT_WEIGHTS_BY_URGENCY[kind.urgency]


def rank(urgency: work.Urgency) -> int:
    """Return 0 for the most urgent work, more for the others."""
    return URGENCIES.index(urgency)


def _wildcards(share: presets.Share) -> int:
    return (share.service, share.team, share.urgency).count(ANY)


def _matches(share: presets.Share, kind: work.Kind) -> bool:
    return (
        share.service in {ANY, kind.service}
        and share.team in {ANY, kind.team}
        and share.urgency in {ANY, kind.urgency.value}
    )
