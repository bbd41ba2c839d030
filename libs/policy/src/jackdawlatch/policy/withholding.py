"""How long a machine takes no late jobs, so that it can move to another service.

Load pattern: demand beyond the fleet, where a service has late jobs and more
machines than its share.  A machine may fail to become idle or to move, so no
machine is withheld without a bound.
"""

import dataclasses
from collections.abc import Collection

from jackdawlatch.policy import transfers

# Below the 3 s for which ready work may wait beside idle capacity.
MAX_IDLE_S = 2.5
# The tasks on a withheld machine have ended by then, unless they stall.
MAX_WITHHELD_S = 6.0
# A machine that did not move takes late jobs again for this time.
REST_S = 5.0


@dataclasses.dataclass(frozen=True)
class _Period:
    """Since when a machine has been withheld, and since when idle as well."""

    since_s: float
    idle_since_s: float | None = None

    def over(self, now_s: float) -> bool:
        """Whether the machine was withheld in vain."""
        idle_s = 0 if self.idle_since_s is None else now_s - self.idle_since_s
        return idle_s >= MAX_IDLE_S or now_s - self.since_s >= MAX_WITHHELD_S


class Withholding:
    """The machines that take no late jobs now."""

    def __init__(self) -> None:
        self._periods_by_machine: dict[str, _Period] = {}
        self._rests_until_s_by_machine: dict[str, float] = {}

    @property
    def machines(self) -> Collection[str]:
        """The machines that are withheld."""
        return self._periods_by_machine.keys()

    def may_withhold(self, machine: str, now_s: float) -> bool:
        """Whether a machine may be withheld now."""
        return self._rests_until_s_by_machine.get(machine, 0) <= now_s

    def replace(
        self, chosen: Collection[transfers.BusyMachine], now_s: float
    ) -> None:
        """Withhold the chosen machines instead of the present ones."""
        self._periods_by_machine = {
            machine.id: self._period(machine, now_s) for machine in chosen
        }
        for machine in chosen:
            if self._periods_by_machine[machine.id].over(now_s):
                self._periods_by_machine.pop(machine.id)
                self._rests_until_s_by_machine[machine.id] = now_s + REST_S

    def _period(self, machine: transfers.BusyMachine, now_s: float) -> _Period:
        known = self._periods_by_machine.get(machine.id, _Period(now_s))
        if machine.run_count:
            return _Period(known.since_s)
        if known.idle_since_s is None:
            return _Period(known.since_s, now_s)
        return known
