"""A steward's view of a host that is not active."""

import dataclasses

from jackdawlatch.model import hosts
from jackdawlatch.steward import fleet_client


@dataclasses.dataclass(frozen=True)
class OverdueDrain:
    """A drain that has exceeded its time limit, and what it waits for."""

    host: str
    waits_for: str


@dataclasses.dataclass(frozen=True)
class HostView:
    """What a steward knows of a host that is not active.

    ``state`` is None if the host did not answer, ``reboot_requested_s`` if
    this steward has requested no reboot.
    """

    host: hosts.Host
    assignment: hosts.Assignment
    state: fleet_client.HostState | None
    reboot_requested_s: float | None
    now_s: float

    @property
    def age_s(self) -> float:
        """Return for how many seconds the phase has lasted."""
        return self.now_s - self.assignment.since_s

    @property
    def live(self) -> bool:
        """Whether the platform lists the host as live."""
        return self.host.liveness is hosts.Liveness.LIVE
