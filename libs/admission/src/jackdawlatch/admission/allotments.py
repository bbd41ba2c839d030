"""Max-min fair division of slots among kinds with different demands."""

import dataclasses
from collections.abc import Iterable


@dataclasses.dataclass(frozen=True)
class Demand:
    """The slots that a kind holds or waits for, and its weight."""

    slots: float
    weight: float

    @property
    def level(self) -> float:
        """Return the level at which the demand is met in full."""
        return self.slots / self.weight


def water_level(demands: Iterable[Demand], capacity: float) -> float:
    """Return the slots per weight that no kind may exceed.

    Each kind gets the lesser of its demand and its weight times the level,
    and all capacity is used if there is demand for it.  The level is
    infinite if all demands can be met.
    """
    rising = sorted(demands, key=lambda demand: demand.level)
    weight = sum(demand.weight for demand in rising)
    left = capacity
    for demand in rising:
        if demand.level * weight > left:
            return left / weight
        left -= demand.slots
        weight -= demand.weight
    return float('inf')
