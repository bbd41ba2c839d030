"""Forecasts how many machines all services together will need."""

import collections

# Demand moves from service to service in cycles of a few seconds: the total
# demand of the last cycle is expected again.
WINDOW_S = 6.0


class PeakDemand:
    """The highest demand of the last ``window_s`` seconds."""

    def __init__(self, window_s: float = WINDOW_S) -> None:
        self._window_s = window_s
        # Pairs of time and demand with falling demand: the first is the peak.
        self._peaks: collections.deque[tuple[float, int]] = collections.deque()
        self._first_s: float | None = None

    @property
    def covers_window(self) -> bool:
        """Whether demand has been recorded for a whole window."""
        if self._first_s is None or not self._peaks:
            return False
        return self._peaks[-1][0] - self._first_s >= self._window_s

    def record(self, now_s: float, machines: int) -> None:
        """Record the demand for machines at ``now_s``."""
        if self._first_s is None:
            self._first_s = now_s
        while self._peaks and self._peaks[-1][1] <= machines:
            self._peaks.pop()
        self._peaks.append((now_s, machines))
        while self._peaks[0][0] < now_s - self._window_s:
            self._peaks.popleft()

    def machines(self) -> int:
        """Return the peak demand; 0 if none was recorded."""
        return self._peaks[0][1] if self._peaks else 0
