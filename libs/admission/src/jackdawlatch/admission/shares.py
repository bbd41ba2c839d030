"""Weights of kinds of work, from the shares of the preset in force."""

from collections.abc import Iterable

from jackdawlatch.model import presets, work

ANY = '*'
DEFAULT_WEIGHT = 1.0

URGENCIES = tuple(work.Urgency)


def rank(kind: work.Kind) -> int:
    """Return 0 for the most urgent kinds, more for the others."""
    return URGENCIES.index(kind.urgency)


class Weights:
    """Finds the weight of a kind: the most specific share wins.

    Of two shares with as many names given, the earlier wins.
    """

    def __init__(self, shares: Iterable[presets.Share]) -> None:
        self._shares = sorted(shares, key=_wildcards)

    def weight(self, kind: work.Kind) -> float:
        """Return the weight of a kind."""
        for share in self._shares:
            if _matches(share, kind):
                return share.weight
        return DEFAULT_WEIGHT


def _wildcards(share: presets.Share) -> int:
    return (share.service, share.team, share.urgency).count(ANY)


def _matches(share: presets.Share, kind: work.Kind) -> bool:
    return (
        share.service in {ANY, kind.service}
        and share.team in {ANY, kind.team}
        and share.urgency in {ANY, kind.urgency.value}
    )
