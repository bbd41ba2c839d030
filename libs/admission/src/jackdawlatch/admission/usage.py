"""Moving average over time of how many slots a kind holds."""

import math

# Usage this long ago counts for about a third.
MEMORY_S = 60.0


class Usage:
    """An exponentially weighted mean, without bias towards its start."""

    def __init__(self) -> None:
        self._sum: float = 0
        self._weight: float = 0
        self._at_s: float = math.inf

    def pass_over(self, now_s: float) -> None:
        """Leave out the time since the last call."""
        self._at_s = now_s

    def take(self, held: int, now_s: float) -> None:
        """Take note that so many slots were held since the last call."""
        elapsed_s = max(0, now_s - self._at_s)
        self._at_s = now_s
        keep = math.exp(-elapsed_s / MEMORY_S)
        self._sum = self._sum * keep + held * (1 - keep)
        self._weight = self._weight * keep + 1 - keep

    @property
    def mean(self) -> float:
        """The mean number of slots held."""
        if not self._weight:
            return 0
        return self._sum / self._weight
