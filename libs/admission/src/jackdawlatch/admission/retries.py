"""The retry budget, which limits retries to a fraction of first attempts."""

MAX_TOKENS = 10.0


class RetryBudget:
    """A token bucket: a first attempt adds ``ratio`` tokens, a retry takes 1."""

    def __init__(self, ratio: float, max_tokens: float = MAX_TOKENS) -> None:
        self.ratio = ratio
        self._max_tokens = max_tokens
        self._tokens = max_tokens

    def attempted(self) -> None:
        """Record a first attempt."""
        self._tokens = min(self._max_tokens, self._tokens + self.ratio)

    def spend(self) -> bool:
        """Return whether a retry is allowed, and if so, take its token.

        A ratio of 0 allows no retries at all.
        """
        if not self.ratio or self._tokens < 1:
            return False
        self._tokens -= 1
        return True
