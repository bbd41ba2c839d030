"""Hosts on which work is under way, as one steward sees them."""

import dataclasses

from jackdawlatch.model import hosts
from jackdawlatch.steward import backends


@dataclasses.dataclass(frozen=True)
class Overdue:
    """A drain that has not ended in time, and what it waits for."""

    host: str
    waits_for: str


@dataclasses.dataclass(frozen=True)
class Seen:
    """One host on which work is under way; ``state`` None is no answer."""

    host: hosts.Host
    assignment: hosts.Assignment
    state: backends.HostState | None
    rebooted_s: float | None
    now_s: float

    @property
    def age_s(self) -> float:
        """Return for how long the phase has lasted."""
        return self.now_s - self.assignment.since_s

    @property
    def live(self) -> bool:
        """Whether the platform lists the host as live."""
        return self.host.liveness is hosts.Liveness.LIVE
