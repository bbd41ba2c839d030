"""How long a machine takes no late jobs, so that it can move to another service.

Load pattern: demand beyond the fleet, where a service has late jobs and more
machines than its share.  A machine may fail to become idle or to move, so no
machine is withheld without a bound, and one with much free capacity only as
long as ready work may wait beside it.
"""

import dataclasses
from collections.abc import Iterable

from jackdawlatch.policy import transfers

# Below the 3 s for which ready work may wait while most capacity is free.
MAX_SPARE_S = 2.5
# A machine with at most this share of its capacity in use counts as spare.
SPARE_USED_SHARE = 0.5
# The tasks on withheld machines have ended by then, unless they stall.
MAX_WITHHELD_S = 6.0
# After that a service takes late jobs on all of its machines for this time: a
# gang may need several of them at once.  It also takes this long until a service
# that was withheld for less may be withheld for the whole time again.
REST_S = 5.0


@dataclasses.dataclass(frozen=True)
class _Usage:
    """For how long the machines of a service were withheld.

    ``active`` tells whether they are, ``resting`` whether they may not be.
    """

    used_s: float
    updated_s: float
    active: bool = False
    resting: bool = False

    def used_at(self, now_s: float) -> float:
        """Return the used time; it decreases while none is withheld."""
        elapsed_s = now_s - self.updated_s
        if self.active:
            return self.used_s + elapsed_s
        return max(0, self.used_s - elapsed_s * MAX_WITHHELD_S / REST_S)

    def at(self, now_s: float, wanted: bool) -> '_Usage':
        """Return the usage from ``now_s`` on."""
        used_s = self.used_at(now_s)
        resting = used_s >= MAX_WITHHELD_S or (self.resting and used_s > 0)
        return _Usage(used_s, now_s, wanted and not resting, resting)


class Withholding:
    """The machines that take no late jobs now."""

    def __init__(self) -> None:
        self._usage_by_service: dict[str, _Usage] = {}
        self._spare_since_s_by_machine: dict[str, float] = {}
        self._chosen: tuple[transfers.PoolMachine, ...] = ()

    def machines(self, now_s: float) -> frozenset[str]:
        """Return the machines that are withheld at a time."""
        return frozenset(
            machine.id
            for machine in self._chosen
            if self._is_withheld(machine, now_s)
        )

    def replace(
        self, chosen: Iterable[transfers.PoolMachine], now_s: float
    ) -> None:
        """Replace the machines to withhold, each within its time limits."""
        self._chosen = tuple(chosen)
        self._update_usage({one.service for one in self._chosen}, now_s)
        self._spare_since_s_by_machine = {
            spare.id: self._spare_since_s_by_machine.get(spare.id, now_s)
            for spare in self._chosen
            if spare.used_share <= SPARE_USED_SHARE
        }

    def _update_usage(self, wanted: set[str], now_s: float) -> None:
        unused = _Usage(0, now_s)
        services = wanted | self._usage_by_service.keys()
        self._usage_by_service = {
            service: self._usage_by_service.get(service, unused).at(
                now_s, service in wanted
            )
            for service in services
        }

    def _is_withheld(
        self, machine: transfers.PoolMachine, now_s: float
    ) -> bool:
        usage = self._usage_by_service[machine.service]
        spare_since_s = self._spare_since_s_by_machine.get(machine.id, now_s)
        return (
            usage.active
            and usage.used_at(now_s) < MAX_WITHHELD_S
            and now_s - spare_since_s < MAX_SPARE_S
        )
