"""Weights of kinds of jobs; the urgency decides where no share matches."""

import types
from collections.abc import Iterable

from jackdawlatch.model import presets, shares, work

WEIGHTS_BY_URGENCY = types.MappingProxyType(
    {
        work.Urgency.URGENT: 4.0,
        work.Urgency.NORMAL: 2.0,
        work.Urgency.BATCH: 1.0,
    }
)


def of_shares(given: Iterable[presets.Share] = ()) -> shares.Weights:
    """Return the weights set by the shares of a preset."""
    return shares.Weights(given, _by_urgency)


def _by_urgency(kind: work.Kind) -> float:
    return WEIGHTS_BY_URGENCY[kind.urgency]
