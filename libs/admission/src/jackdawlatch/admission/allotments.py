"""Max-min fair division of slots among kinds with different demands."""

from collections.abc import Iterable
from typing import NamedTuple


class Demand(NamedTuple):
    """What a kind holds or waits for: slots per weight, and its weight."""

    level: float
    weight: float


def water_level(demands: Iterable[Demand], capacity: float) -> float:
    """Return the slots per weight that no kind may exceed.

    Each kind gets the lesser of its demand and its weight times the level,
    and all capacity is used if there is demand for it.  The level is
    infinite if all demands can be met.
    """
    rising = sorted(demands)
    weight = sum(demand.weight for demand in rising)
    left = capacity
    for demand in rising:
        if demand.level * weight > left:
            return left / weight
        left -= demand.level * demand.weight
        weight -= demand.weight
    return float('inf')
