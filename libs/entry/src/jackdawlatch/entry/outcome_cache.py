"""Caches the outcomes of keyed requests that this process handled."""

import collections
import dataclasses

from returns import result

from jackdawlatch.entry import outcomes, unknown_outcome_failures
from jackdawlatch.model import clocks

MAX_TOTAL_ANSWER_BYTES = 8_388_608


@dataclasses.dataclass(frozen=True)
class CachedOutcome:
    """An outcome, and the fingerprint of the request it belongs to.

    ``expires_s`` is on the monotonic clock.
    """

    fingerprint: str
    outcome: outcomes.Outcome
    expires_s: float

    @property
    def size_bytes(self) -> int:
        """Return the size of the answer's body in bytes."""
        if isinstance(self.outcome, result.Success):
            return len(self.outcome.unwrap().body)
        return 0


class OutcomeCache:
    """Keeps outcomes for ``window_s`` seconds.

    When the bodies of the answers exceed ``max_bytes``, the oldest answers
    are replaced by ``AnswerNotKept``.  The outcomes themselves are kept until
    they expire, so that a request that was sent is not sent again.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        window_s: float,
        max_bytes: int = MAX_TOTAL_ANSWER_BYTES,
    ) -> None:
        self._clock = clock
        self._window_s = window_s
        self._max_bytes = max_bytes
        self._size_bytes = 0
        self._by_key_digest: collections.OrderedDict[str, CachedOutcome] = (
            collections.OrderedDict()
        )
        self._digests_with_answer: collections.deque[str] = collections.deque()

    def put(
        self, key_digest: str, fingerprint: str, outcome: outcomes.Outcome
    ) -> None:
        """Cache the outcome of a key."""
        self._evict_expired()
        expires_s = self._clock.monotonic_s() + self._window_s
        cached = CachedOutcome(fingerprint, outcome, expires_s)
        self._by_key_digest[key_digest] = cached
        self._digests_with_answer.append(key_digest)
        self._size_bytes += cached.size_bytes
        while self._size_bytes > self._max_bytes:
            self._drop_answer(self._digests_with_answer.popleft())

    def find(self, key_digest: str) -> CachedOutcome | None:
        """Return the cached outcome of a key, or None."""
        self._evict_expired()
        return self._by_key_digest.get(key_digest)

    def _evict_expired(self) -> None:
        now_s = self._clock.monotonic_s()
        while self._by_key_digest:
            key_digest, oldest = next(iter(self._by_key_digest.items()))
            if oldest.expires_s > now_s:
                return
            self._by_key_digest.pop(key_digest)
            self._size_bytes -= oldest.size_bytes

    def _drop_answer(self, key_digest: str) -> None:
        cached = self._by_key_digest.get(key_digest)
        if cached is None:
            return
        self._size_bytes -= cached.size_bytes
        self._by_key_digest[key_digest] = dataclasses.replace(
            cached,
            outcome=result.Failure(
                unknown_outcome_failures.AnswerNotKept(
                    message='the answer was dropped to free memory'
                )
            ),
        )
