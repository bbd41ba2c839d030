"""Hybrid logical clock: wall-clock time that preserves causal order."""

from jackdawlatch.model import clocks

US_PER_S = 1_000_000
Stamp = tuple[int, int, str]


class HybridClock:
    """Issues stamps: (microseconds since the epoch, counter, process id)."""

    def __init__(self, clock: clocks.Clock, process: str) -> None:
        self._clock = clock
        self._process = process
        self._last_us = 0
        self._counter = 0

    def now(self) -> Stamp:
        """Return a stamp later than all issued and observed so far."""
        wall_us = int(self._clock.wall_s() * US_PER_S)
        if wall_us > self._last_us:
            self._last_us, self._counter = wall_us, 0
        else:
            self._counter += 1
        return (self._last_us, self._counter, self._process)

    def observe(self, stamp: Stamp) -> None:
        """Advance the clock past a stamp of another process."""
        if stamp[:2] > (self._last_us, self._counter):
            self._last_us, self._counter = stamp[:2]
