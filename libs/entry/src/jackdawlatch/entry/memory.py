"""The outcomes of keyed requests that this process saw to their end."""

import collections
import dataclasses

from returns import result

from jackdawlatch.entry import outcomes, unknown
from jackdawlatch.model import clocks

MAX_ANSWER_BYTES = 8_388_608


@dataclasses.dataclass(frozen=True)
class Remembered:
    """An outcome, and the fingerprint of the request it belongs to."""

    fingerprint: str
    outcome: outcomes.Outcome
    until_s: float

    @property
    def size_bytes(self) -> int:
        """The size of the answer's body."""
        if isinstance(self.outcome, result.Success):
            return len(self.outcome.unwrap().body)
        return 0


class Memory:
    """Remembers outcomes for a window, oldest first out.

    When the answers grow too large the oldest are replaced by the word that
    they were not kept; that a request was sent is never forgotten early.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        window_s: float,
        max_bytes: int = MAX_ANSWER_BYTES,
    ) -> None:
        self._clock = clock
        self._window_s = window_s
        self._max_bytes = max_bytes
        self._size_bytes = 0
        self._by_scope: collections.OrderedDict[str, Remembered] = (
            collections.OrderedDict()
        )
        self._whole: collections.deque[str] = collections.deque()

    def put(
        self, scope: str, fingerprint: str, outcome: outcomes.Outcome
    ) -> None:
        """Remember the outcome of a key."""
        self._forget_old()
        until_s = self._clock.monotonic_s() + self._window_s
        remembered = Remembered(fingerprint, outcome, until_s)
        self._by_scope[scope] = remembered
        self._whole.append(scope)
        self._size_bytes += remembered.size_bytes
        while self._size_bytes > self._max_bytes:
            self._shrink(self._whole.popleft())

    def find(self, scope: str) -> Remembered | None:
        """Return what is remembered of a key."""
        self._forget_old()
        return self._by_scope.get(scope)

    def _forget_old(self) -> None:
        now_s = self._clock.monotonic_s()
        while self._by_scope:
            scope, oldest = next(iter(self._by_scope.items()))
            if oldest.until_s > now_s:
                return
            self._by_scope.pop(scope)
            self._size_bytes -= oldest.size_bytes

    def _shrink(self, scope: str) -> None:
        remembered = self._by_scope.get(scope)
        if remembered is None:
            return
        self._size_bytes -= remembered.size_bytes
        self._by_scope[scope] = dataclasses.replace(
            remembered,
            outcome=result.Failure(
                unknown.AnswerNotKept(message='the answer was too large')
            ),
        )
