"""The lease of a fake boot, and what leaders can know of the boot."""

import asyncio
from collections.abc import Callable

# The clocks of workers are as slow as the leader has to expect.
CLOCK_SPEED = 0.98
ROUNDING_S = 1e-6


class Lease:
    """The lease of a boot, on its clock, which counts from its birth.

    ``longest_s`` returns the longest lease that it accepts.  ``on_lapse`` is
    called at each end of the lease; ``lapses`` counts them.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        longest_s: Callable[[], float],
        on_lapse: Callable[[], None],
    ) -> None:
        self.end_s: float = 0
        self.lapses = 0
        self._counted_end_s: float = 0
        self._loop = loop
        self._longest_s = longest_s
        self._on_lapse = on_lapse
        self._born_s = loop.time()
        self._timer: asyncio.TimerHandle | None = None

    @property
    def clock_s(self) -> float:
        """The time on the clock of the boot."""
        return (self._loop.time() - self._born_s) * CLOCK_SPEED

    @property
    def overdue(self) -> bool:
        """Whether only an excused request keeps the lease."""
        extended = self.end_s > self._counted_end_s
        return extended and self.clock_s > self._counted_end_s

    def extend(self, end_s: float, excused: bool) -> None:
        """Extend the lease to a time, by a request that arrives now."""
        longest_s = self.clock_s + self._longest_s()
        accepted_s = min(end_s, longest_s)
        self.end_s = max(self.end_s, accepted_s)
        if not excused:
            self._counted_end_s = max(self._counted_end_s, accepted_s)
        if self._timer is None:
            self._set_timer()

    def _set_timer(self) -> None:
        left_s = self.end_s - self.clock_s
        if left_s > ROUNDING_S:
            self._timer = self._loop.call_later(
                left_s / CLOCK_SPEED, self._lapse
            )

    def _lapse(self) -> None:
        """End the lease, unless it was extended meanwhile."""
        self._timer = None
        self._set_timer()
        if self._timer is None:
            self.lapses += 1
            self._on_lapse()


class Knowledge:
    """What leaders can know of a boot, from what it has seen and answered.

    A later boot is known once it has seen a request that was sent after it had
    answered a poll; ``since`` is the place of that among all events.
    """

    def __init__(self, later: bool) -> None:
        self.since: int | None = None if later else 0
        self._answered: int | None = None

    def answer(self, place: int) -> None:
        """Note that the boot has answered a poll."""
        if self._answered is None:
            self._answered = place

    def admit(self, sent: int, place: int) -> None:
        """Note a request that the boot carries out."""
        if self.since is None and self._answered is not None:
            if sent > self._answered:
                self.since = place

    def excuses(self, late: bool) -> bool:
        """Whether no leader could prevent what is carried out now."""
        return late and self.since is None

    def precedes(self, sent: int) -> bool:
        """Whether the boot was known when a request was sent."""
        return self.since is not None and self.since < sent
