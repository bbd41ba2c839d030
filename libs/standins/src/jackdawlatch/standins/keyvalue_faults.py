"""Faults of the key-value stand-in, set while it runs."""

import enum
import random
from typing import Annotated

import msgspec

from jackdawlatch.model import clocks, records

MAX_MS = 600_000
MAX_S = 86_400
MS_PER_S = 1000

Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_MS)]


class Outage(enum.StrEnum):
    """How a store that is down treats a call.

    ``refuse`` answers that it is unavailable, ``close`` closes the connection
    and ``hang`` does not answer; none of them applies the call.
    """

    NONE = 'none'
    REFUSE = 'refuse'
    CLOSE = 'close'
    HANG = 'hang'


class Faults(records.StrictRecord, frozen=True, kw_only=True):
    """The faults in force; posting new ones replaces all of them.

    The outage ends after ``outage_s``, or not by itself if that is 0.
    ``slow_ms`` delays a call before it takes effect, ``slow_reply_ms`` after.
    The next ``lose_next`` writes, and then each write with
    ``lose_probability``, take effect but are not answered.
    """

    outage: Outage = Outage.NONE
    outage_s: Annotated[float, msgspec.Meta(ge=0, le=MAX_S)] = 0
    slow_ms: Milliseconds = 0
    slow_reply_ms: Milliseconds = 0
    lose_next: Annotated[int, msgspec.Meta(ge=0)] = 0
    lose_probability: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0
    seed: int = 0


class FaultInjector:
    """Decides which faults apply to each call."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self.set(Faults())

    def set(self, faults: Faults) -> None:
        """Replace the faults in force."""
        self._faults = faults
        self._set_s = self._clock.monotonic_s()
        self._left_to_lose = faults.lose_next
        self._rng = random.Random(faults.seed)

    @property
    def outage(self) -> Outage:
        """The kind of outage at present."""
        limit_s = self._faults.outage_s
        if limit_s and self._clock.monotonic_s() >= self._set_s + limit_s:
            return Outage.NONE
        return self._faults.outage

    @property
    def is_down(self) -> bool:
        """Whether the store is down at present."""
        return self.outage is not Outage.NONE

    @property
    def slow_s(self) -> float:
        """Seconds to wait before a call takes effect."""
        return self._faults.slow_ms / MS_PER_S

    @property
    def slow_reply_s(self) -> float:
        """Seconds to wait after a call took effect."""
        return self._faults.slow_reply_ms / MS_PER_S

    def loses_reply(self) -> bool:
        """Return whether the next reply to an applied write is lost."""
        if self._left_to_lose:
            self._left_to_lose -= 1
            return True
        return self._rng.random() < self._faults.lose_probability
