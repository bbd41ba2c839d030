"""Forecasts how many machines all services together will want."""

import collections

# Demand goes round the services in turns of some seconds; what they wanted
# together during the last turn they will want again.
WINDOW_S = 6.0


class PeakDemand:
    """The highest demand of the last ``window_s`` seconds."""

    def __init__(self, window_s: float = WINDOW_S) -> None:
        self._window_s = window_s
        # Falling demands, each with its time: the first one is the peak.
        self._peaks: collections.deque[tuple[float, int]] = collections.deque()
        self._first_s: float | None = None

    @property
    def known(self) -> bool:
        """Whether demand has been seen for a whole window."""
        if self._first_s is None or not self._peaks:
            return False
        return self._peaks[-1][0] - self._first_s >= self._window_s

    def note(self, now_s: float, machines: int) -> None:
        """Take note of what is wanted now."""
        if self._first_s is None:
            self._first_s = now_s
        while self._peaks and self._peaks[-1][1] <= machines:
            self._peaks.pop()
        self._peaks.append((now_s, machines))
        while self._peaks[0][0] < now_s - self._window_s:
            self._peaks.popleft()

    def machines(self) -> int:
        """Return the peak; 0 when nothing was noted."""
        return self._peaks[0][1] if self._peaks else 0
