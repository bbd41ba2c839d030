"""Which machines of a maintenance wave are vacated next.

Load pattern: a wave over half of the fleet, whose machines hold lasting tasks
that may leave only a few at a time.  Idle machines go down at once.  Machines
with lasting tasks take longest, so some are vacated from the beginning, while
idle ones use the wave's places.
"""

import dataclasses
from collections.abc import Iterable

# Part of a wave's places for which machines with lasting tasks are vacated
# ahead of the machines that go down first.
AHEAD_FRACTION = 0.25


@dataclasses.dataclass(frozen=True)
class DueMachine:
    """A machine whose maintenance is due, and the runs that it holds.

    ``refused`` means that its last maintenance request was refused, as for a
    machine that is in transit, or gone.
    """

    id: str
    run_count: int
    lasting_count: int
    cordoned: bool
    refused: bool = False


def choose(due: Iterable[DueMachine], places: int, max_count: int) -> list[str]:
    """Return the machines to vacate and maintain, in that order.

    ``places`` machines may go down now, and ``max_count`` of the wave at once.
    More machines may be chosen than may go down.
    """
    ordered = sorted(due, key=_vacate_cost)
    first = [machine.id for machine in ordered][:places]
    rest = [machine for machine in ordered if machine.id not in first]
    # A machine that is opened again gets its tasks back.
    begun = [
        machine.id
        for machine in rest
        if machine.cordoned and not machine.refused
    ]
    ahead = max(1, int(max_count * AHEAD_FRACTION)) - len(begun)
    slow = [
        machine.id
        for machine in rest
        if machine.lasting_count and machine.id not in begun
    ]
    return first + begun + slow[: max(0, ahead)]


def _vacate_cost(machine: DueMachine) -> tuple[int, int]:
    """Return a sort key: machines without runs first, then cordoned ones.

    Of the machines without runs, those that were vacated come first.  Refused
    machines come last, since they would hold up a wave with few places.
    """
    if machine.refused:
        return (4, machine.run_count)
    if not machine.run_count:
        return (0 if machine.cordoned else 1, 0)
    return (2 if machine.cordoned else 3, machine.run_count)
