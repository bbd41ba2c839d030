"""Max-min fair division of slots among kinds with different demands."""

from collections.abc import Iterable, Sequence
from typing import NamedTuple


class Demand(NamedTuple):
    """The slots per weight that a kind demands, and its weight."""

    level: float
    weight: float


class Claim(NamedTuple):
    """The slots that a kind holds or waits for, and its weight.

    ``usual`` is the number of slots that it has held recently.
    """

    slots: float
    weight: float
    usual: float = 0


def water_level(demands: Iterable[Demand], capacity: float) -> float:
    """Return the max-min fair limit on slots per weight.

    If each kind gets the lesser of its demand and its weight times the limit,
    all capacity is used as far as there is demand.  The limit is infinite if
    all demands can be met.
    """
    demands_by_level = sorted(demands)
    weight = sum(demand.weight for demand in demands_by_level)
    remaining = capacity
    for demand in demands_by_level:
        if demand.level * weight > remaining:
            return remaining / weight
        remaining -= demand.level * demand.weight
        weight -= demand.weight
    return float('inf')


def allot(claims: Sequence[Claim], capacity: float) -> list[float]:
    """Return the slots that each claim is allotted.

    Each claim is guaranteed its share of the capacity by weight.  Slots that
    others leave unused go first to claims below their usual slots, up to
    those, and then to all claims, both times by max-min fairness.
    """
    weight = sum(claim.weight for claim in claims)
    allotted = [
        min(claim.slots, capacity * claim.weight / weight) for claim in claims
    ]
    usual = [min(claim.slots, claim.usual) for claim in claims]
    allotted = _raise_towards(claims, allotted, usual, capacity)
    goals = [claim.slots for claim in claims]
    return _raise_towards(claims, allotted, goals, capacity)


def _raise_towards(
    claims: Sequence[Claim],
    allotted: Sequence[float],
    goals: Sequence[float],
    capacity: float,
) -> list[float]:
    """Raise allotments towards goals by max-min fairness of what is added."""
    remaining = capacity - sum(allotted)
    shortfalls = [
        max(0, goal - current)
        for goal, current in zip(goals, allotted, strict=True)
    ]
    level = water_level(
        (
            Demand(shortfall / claim.weight, claim.weight)
            for shortfall, claim in zip(shortfalls, claims, strict=True)
            if shortfall
        ),
        remaining,
    )
    return [
        current + min(shortfall, level * claim.weight)
        for current, shortfall, claim in zip(
            allotted, shortfalls, claims, strict=True
        )
    ]
