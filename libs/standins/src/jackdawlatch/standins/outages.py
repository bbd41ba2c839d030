"""Records when processes were down, to excuse answers that were cut off."""

import contextlib
import dataclasses
import time
from collections.abc import AsyncIterator

# How long a process needs after it was resumed or restarted.
RECOVERY_S = 1.0


@dataclasses.dataclass
class Outage:
    """When a process was down, in seconds since the epoch."""

    started_s: float
    ended_s: float = float('inf')


class OutageLog:
    """The outages of each process or rack."""

    def __init__(self) -> None:
        self._outages_by_name: dict[str, list[Outage]] = {}

    @contextlib.asynccontextmanager
    async def record(self, name: str) -> AsyncIterator[None]:
        """Record an outage that lasts as long as the context."""
        outage = Outage(time.time())
        self._outages_by_name.setdefault(name, []).append(outage)
        try:
            yield
        finally:
            outage.ended_s = time.time() + RECOVERY_S

    def overlaps(self, name: str, from_s: float, until_s: float) -> bool:
        """Return whether an outage overlaps a period, in epoch seconds."""
        return any(
            outage.started_s <= until_s and outage.ended_s >= from_s
            for outage in self._outages_by_name.get(name, ())
        )
