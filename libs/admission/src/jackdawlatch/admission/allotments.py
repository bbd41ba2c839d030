"""Max-min fair division of slots among kinds with different demands."""

from collections.abc import Iterable, Sequence
from typing import NamedTuple


class Demand(NamedTuple):
    """What a kind holds or waits for: slots per weight, and its weight."""

    level: float
    weight: float


class Claim(NamedTuple):
    """What a kind holds or waits for, in slots.

    ``usual`` is what it has held of late.
    """

    slots: float
    weight: float
    usual: float = 0


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


def allot(claims: Sequence[Claim], capacity: float) -> list[float]:
    """Return the slots that each claim is allotted.

    Everyone is sure of its weight's part of the capacity.  What others leave
    of theirs goes to those that usually hold more, up to what is usual, and
    then to all, each time by max-min.
    """
    weight = sum(claim.weight for claim in claims)
    given = [
        min(claim.slots, capacity * claim.weight / weight) for claim in claims
    ]
    usual = [min(claim.slots, claim.usual) for claim in claims]
    given = _raise(claims, given, usual, capacity)
    wanted = [claim.slots for claim in claims]
    return _raise(claims, given, wanted, capacity)


def _raise(
    claims: Sequence[Claim],
    given: Sequence[float],
    wanted: Sequence[float],
    capacity: float,
) -> list[float]:
    """Raise what is given towards what is wanted, lowest levels first."""
    left = capacity - sum(given)
    short = [
        max(0, want - has) for want, has in zip(wanted, given, strict=True)
    ]
    level = water_level(
        (
            Demand(lack / claim.weight, claim.weight)
            for lack, claim in zip(short, claims, strict=True)
            if lack
        ),
        left,
    )
    return [
        has + min(lack, level * claim.weight)
        for has, lack, claim in zip(given, short, claims, strict=True)
    ]
