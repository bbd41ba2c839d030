"""Which machines move to another service, and which are switched on or off.

Load pattern: demand that goes from service to service by turns, each more than
its own machines carry.  A move takes a machine away for some time, so only
idle machines move, and only as many as their service can spare.
"""

import collections
import dataclasses
from collections.abc import Collection, Mapping, Sequence

# Idling longer than this costs more than two moves of the machine.
STANDBY_IDLE_S = 2.5
# Shorter, since another service waits for the machine.
TRANSFER_IDLE_S = 0.4


@dataclasses.dataclass(frozen=True)
class IdleMachine:
    """A machine without runs, and for how long."""

    id: str
    service: str
    idle_s: float


@dataclasses.dataclass(frozen=True)
class PoolMachine:
    """A machine of a pool, idle or not; lasting runs keep it from moving.

    ``used_share`` is the part of its capacity that runs hold, from 0 to 1.
    """

    id: str
    service: str
    used_share: float
    lasting_count: int = 0


@dataclasses.dataclass(frozen=True)
class Transfer:
    """The move of a machine to the pool of a service."""

    machine: str
    service: str


@dataclasses.dataclass(frozen=True)
class Lacked:
    """Machines that waiting steps of a service lack.

    ``helpful`` holds, for each of them, the machines that may be large enough.
    ``missing`` of the service's missing machines are needed by these steps only.
    """

    helpful: Sequence[Collection[str]]
    missing: int


@dataclasses.dataclass(frozen=True)
class Fleet:
    """The machines that may move.

    ``idle`` is ordered by preference.  ``surplus_by_service`` is the number of
    machines beyond the demand, negative where machines are missing.
    """

    idle: Sequence[IdleMachine]
    standby: Sequence[str]
    surplus_by_service: Mapping[str, int]
    lacked_by_service: Mapping[str, Lacked] = dataclasses.field(
        default_factory=dict
    )


def supply(fleet: Fleet) -> list[Transfer]:
    """Return the moves to the services that lack machines.

    The service that lacks most comes first; idle machines of other services
    go before those on standby.  A machine that only waiting steps need has to
    be large enough for one of them.
    """
    offer = _Offer(fleet)
    transfers: list[Transfer] = []
    by_surplus = collections.Counter(fleet.surplus_by_service).most_common()
    for service, number in reversed(by_surplus):
        if number >= 0:
            break
        lacked = fleet.lacked_by_service.get(service, Lacked((), 0))
        transfers += [
            Transfer(machine, service)
            for machine in offer.choose(-number, lacked)
        ]
    return transfers


def retire(fleet: Fleet, spare: int, standby_service: str) -> list[Transfer]:
    """Return the moves to standby of at most ``spare`` idle machines."""
    surplus = collections.Counter(fleet.surplus_by_service)
    idle = [
        machine for machine in fleet.idle if machine.idle_s > STANDBY_IDLE_S
    ]
    return [
        Transfer(machine.id, standby_service)
        for machine in _donated(idle, surplus, max(0, spare))
    ]


def vacate(
    machines: Sequence[PoolMachine],
    surplus_by_service: Mapping[str, int],
    missing: int,
) -> list[PoolMachine]:
    """Return the machines to keep free of late jobs, so that they can move.

    ``missing`` machines are lacked by services with jobs that can be in time.
    Demand of a turn grows while machines become idle, so that all machines of
    a service with a surplus are vacated.  One with lasting runs would be kept
    free for nothing.
    """
    return [
        machine
        for machine in machines
        if missing > 0
        and surplus_by_service.get(machine.service, 0) > 0
        and not machine.lasting_count
    ]


class _Offer:
    """The machines that have not been given to a service yet."""

    def __init__(self, fleet: Fleet) -> None:
        self._surplus = collections.Counter(fleet.surplus_by_service)
        self._idle = [
            machine
            for machine in fleet.idle
            if machine.idle_s > TRANSFER_IDLE_S
        ]
        self._standby = list(fleet.standby)

    def choose(self, missing: int, lacked: Lacked) -> list[str]:
        """Take the machines for a service of which ``missing`` are missing."""
        chosen: list[str] = []
        # Steps that few machines can help have the first choice.
        for helpful in sorted(lacked.helpful, key=len):
            if len(chosen) < missing:
                chosen += self._take(1, helpful)
        flexible = missing - lacked.missing - len(chosen)
        return chosen + self._take(flexible)

    def _take(
        self, count: int, helpful: Collection[str] | None = None
    ) -> list[str]:
        """Take up to ``count`` machines, only ``helpful`` ones if given."""
        idle = [
            machine
            for machine in self._idle
            if helpful is None or machine.id in helpful
        ]
        donated = _donated(idle, self._surplus, count)
        self._idle = [one for one in self._idle if one not in donated]
        standby = [
            machine
            for machine in reversed(self._standby)
            if helpful is None or machine in helpful
        ][: max(0, count - len(donated))]
        self._standby = [one for one in self._standby if one not in standby]
        return [*(machine.id for machine in donated), *standby]


def _donated(
    machines: Sequence[IdleMachine],
    surplus: collections.Counter[str],
    count: int,
) -> list[IdleMachine]:
    """Return up to ``count`` machines, and subtract them from ``surplus``."""
    donated: list[IdleMachine] = []
    for machine in machines:
        if len(donated) >= count:
            break
        if surplus[machine.service] > 0:
            surplus[machine.service] -= 1
            donated.append(machine)
    return donated
