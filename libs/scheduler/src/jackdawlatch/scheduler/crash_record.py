"""The crashes of workers that are counted under one task."""


class CrashRecord:
    """The attempts in a row whose worker was lost soon after the start.

    A crash is proven if the run was certainly there when the worker ended; any
    other loss may have a cause outside of the worker.
    """

    __slots__ = ('_proven_by_attempt',)

    def __init__(self) -> None:
        self._proven_by_attempt: dict[int, bool] = {}

    @property
    def suspicious(self) -> bool:
        """Whether any attempt is counted."""
        return bool(self._proven_by_attempt)

    @property
    def attempts(self) -> frozenset[int]:
        """All attempts that are counted."""
        return frozenset(self._proven_by_attempt)

    @property
    def proven_attempts(self) -> frozenset[int]:
        """The attempts with a proven crash."""
        return frozenset(
            attempt
            for attempt, proven in self._proven_by_attempt.items()
            if proven
        )

    def record(self, attempt: int, proven: bool = False) -> None:
        """Count an attempt."""
        self._proven_by_attempt[attempt] = proven

    def withdraw(self, attempt: int) -> None:
        """Don't count an attempt any more, since its worker goes on."""
        self._proven_by_attempt.pop(attempt, None)

    def clear(self) -> None:
        """Forget all attempts, since a later one went on without a crash."""
        self._proven_by_attempt.clear()
