"""Moving average over time of the number of slots that a kind holds."""

import math

# The time after which a sample's weight has fallen to 1/e, about a third.
TIME_CONSTANT_S = 60.0


class Usage:
    """An exponentially weighted mean, without bias towards its initial value."""

    def __init__(self) -> None:
        self._weighted_sum: float = 0
        self._total_weight: float = 0
        self._recorded_at_s: float = math.inf

    def skip(self, now_s: float) -> None:
        """Exclude the time since the last call from the mean."""
        self._recorded_at_s = now_s

    def record(self, held: int, now_s: float) -> None:
        """Record that ``held`` slots were held since the last call."""
        elapsed_s = max(0, now_s - self._recorded_at_s)
        self._recorded_at_s = now_s
        keep = math.exp(-elapsed_s / TIME_CONSTANT_S)
        self._weighted_sum = self._weighted_sum * keep + held * (1 - keep)
        self._total_weight = self._total_weight * keep + 1 - keep

    @property
    def mean(self) -> float:
        """The mean number of slots held."""
        if not self._total_weight:
            return 0
        return self._weighted_sum / self._total_weight
