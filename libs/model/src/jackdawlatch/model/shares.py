"""Weights of kinds of work, from the shares of a preset."""

from collections.abc import Callable, Iterable

from jackdawlatch.model import presets, work

ANY = '*'
DEFAULT_WEIGHT = 1.0
URGENCIES = tuple(work.Urgency)


def rank(urgency: work.Urgency) -> int:
    """Return 0 for the most urgent work, more for the others."""
    return URGENCIES.index(urgency)


def equal_weight(_kind: work.Kind) -> float:
    """Return the weight that all kinds have alike."""
    return DEFAULT_WEIGHT


class Weights:
    """Finds the weight of a kind: the most specific share wins.

    Of two shares with as many names given, the earlier wins.  ``default``
    weighs a kind that no share names.
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
        known = self._weights_by_kind.get(kind)
        if known is None:
            known = self._find(kind)
            self._weights_by_kind[kind] = known
        return known

    def _find(self, kind: work.Kind) -> float:
        for share in self._shares:
            if _matches(share, kind):
                return share.weight
        return self._default(kind)


def _wildcards(share: presets.Share) -> int:
    return (share.service, share.team, share.urgency).count(ANY)


def _matches(share: presets.Share, kind: work.Kind) -> bool:
    return (
        share.service in {ANY, kind.service}
        and share.team in {ANY, kind.team}
        and share.urgency in {ANY, kind.urgency.value}
    )
