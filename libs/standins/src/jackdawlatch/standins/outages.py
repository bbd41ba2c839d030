"""When processes were killed or paused, so that a cut answer is no fault."""

import contextlib
import dataclasses
import time
from collections.abc import AsyncIterator

# A process that was paused or started anew needs a moment.
MARGIN_S = 1.0


@dataclasses.dataclass
class Span:
    """When a process was away, in seconds since the epoch."""

    begun_s: float
    ended_s: float = float('inf')


class Outages:
    """The times at which processes were away."""

    def __init__(self) -> None:
        self._spans_by_name: dict[str, list[Span]] = {}

    @contextlib.asynccontextmanager
    async def of(self, name: str) -> AsyncIterator[None]:
        """Note that a process is away while the context lasts."""
        span = Span(time.time())
        self._spans_by_name.setdefault(name, []).append(span)
        try:
            yield
        finally:
            span.ended_s = time.time() + MARGIN_S

    def touched(self, name: str, from_s: float, until_s: float) -> bool:
        """Return whether a process was away at any time of a span."""
        return any(
            span.begun_s <= until_s and span.ended_s >= from_s
            for span in self._spans_by_name.get(name, ())
        )
