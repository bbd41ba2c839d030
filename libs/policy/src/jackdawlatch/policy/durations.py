"""How long the steps of a job take, learned from the steps that ended.

Load pattern: steps of many tasks whose estimates are rough.  A step takes as
long as its longest task, so a wide step takes longer than its estimate.
"""

# Ratio of the longest task of a step to its estimate, before any was observed.
DEFAULT_RATIO = 1.3
# Weight of a new observation.
LEARNING_RATE = 0.1
# An observation counts within these bounds, so that one stalled task or one
# wrong estimate does not dominate.
MIN_RATIO = 0.5
MAX_RATIO = 4.0


class DurationRatios:
    """Ratio of the observed duration of a step to its estimate, by queue."""

    def __init__(self) -> None:
        self._ratios_by_queue: dict[str, float] = {}

    def record(self, queue: str, observed_s: float, estimate_s: float) -> None:
        """Record the longest task of a step that ended."""
        if observed_s <= 0 or estimate_s <= 0:
            return
        ratio = min(MAX_RATIO, max(MIN_RATIO, observed_s / estimate_s))
        known = self._ratios_by_queue.get(queue, DEFAULT_RATIO)
        self._ratios_by_queue[queue] = known + LEARNING_RATE * (ratio - known)

    def expected_s(self, queue: str, estimate_s: float) -> float:
        """Return the expected duration of a step."""
        return estimate_s * self._ratios_by_queue.get(queue, DEFAULT_RATIO)
