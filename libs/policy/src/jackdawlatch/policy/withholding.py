"""How long a machine takes no late jobs, so that it can move to another service.

Load pattern: demand beyond the fleet, where a service has late jobs and more
machines than its share.  A machine may fail to become idle or to move, so no
machine is withheld without a bound, and one with much free capacity only as
long as ready work may wait beside it.
"""

from collections.abc import Iterable

from jackdawlatch.policy import transfers

# Below the 3 s for which ready work may wait while most capacity is free.
MAX_SPARE_S = 2.5
# A machine with at most this share of its capacity in use counts as spare.
SPARE_USED_SHARE = 0.5
# The tasks on withheld machines have ended by then, unless they stall.
MAX_WITHHELD_S = 6.0
# A service takes late jobs on all of its machines for this time: a gang may
# need several of them at once.
REST_S = 5.0


class Withholding:
    """The machines that take no late jobs now."""

    def __init__(self) -> None:
        self._begun_s_by_service: dict[str, float] = {}
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
        for machine in self._chosen:
            begun_s = self._begun_s_by_service.get(machine.service)
            if begun_s is None or now_s - begun_s >= MAX_WITHHELD_S + REST_S:
                self._begun_s_by_service[machine.service] = now_s
        self._spare_since_s_by_machine = {
            spare.id: self._spare_since_s_by_machine.get(spare.id, now_s)
            for spare in self._chosen
            if spare.used_share <= SPARE_USED_SHARE
        }

    def _is_withheld(
        self, machine: transfers.PoolMachine, now_s: float
    ) -> bool:
        withheld_s = now_s - self._begun_s_by_service[machine.service]
        spare_since_s = self._spare_since_s_by_machine.get(machine.id, now_s)
        spare_s = now_s - spare_since_s
        return withheld_s < MAX_WITHHELD_S and spare_s < MAX_SPARE_S
