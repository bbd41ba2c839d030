"""When processes were killed or paused, so that a cut answer is no fault."""

import contextlib
import dataclasses
import time
from collections.abc import AsyncIterator

# A process that was paused or started anew needs a moment.
RECOVERY_S = 1.0


@dataclasses.dataclass
class Outage:
    """When a process was away, in seconds since the epoch."""

    started_s: float
    ended_s: float = float('inf')


class OutageLog:
    """The times at which processes were away."""

    def __init__(self) -> None:
        self._outages_by_name: dict[str, list[Outage]] = {}

    @contextlib.asynccontextmanager
    async def record(self, name: str) -> AsyncIterator[None]:
        """Note that a process is away while the context lasts."""
        outage = Outage(time.time())
        self._outages_by_name.setdefault(name, []).append(outage)
        try:
            yield
        finally:
            outage.ended_s = time.time() + RECOVERY_S

    def overlaps(self, name: str, from_s: float, until_s: float) -> bool:
        """Return whether a process was away at any time of a span."""
        return any(
            outage.started_s <= until_s and outage.ended_s >= from_s
            for outage in self._outages_by_name.get(name, ())
        )
