"""The retry budget: a bound on retries as a fraction of first attempts."""

MAX_TOKENS = 10.0


class RetryBudget:
    """A token bucket that first attempts fill and retries empty."""

    def __init__(self, ratio: float, max_tokens: float = MAX_TOKENS) -> None:
        self.ratio = ratio
        self._max_tokens = max_tokens
        self._tokens = max_tokens

    def attempted(self) -> None:
        """Take note of a first attempt."""
        self._tokens = min(self._max_tokens, self._tokens + self.ratio)

    def spend(self) -> bool:
        """Return whether a retry may be made, and count it if so."""
        if not self.ratio or self._tokens < 1:
            return False
        self._tokens -= 1
        return True
