"""Clocks, passed to code that depends on time."""

import abc
import time


class Clock(abc.ABC):
    """A source of time in seconds."""

    @abc.abstractmethod
    def monotonic_s(self) -> float:
        """Return seconds that never decrease within one process."""

    @abc.abstractmethod
    def wall_s(self) -> float:
        """Return seconds since the epoch, comparable between hosts."""


class SystemClock(Clock):
    """The clock of this host."""

    def monotonic_s(self) -> float:
        """Return the operating system's monotonic time."""
        return time.monotonic()

    def wall_s(self) -> float:
        """Return the operating system's wall-clock time."""
        return time.time()


class SuspendAwareClock(SystemClock):
    """The clock of this host; monotonic time includes time suspended.

    So the leases of a host that was suspended have expired when it resumes.
    """

    def monotonic_s(self) -> float:
        """Return seconds since the host booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock(Clock):
    """A clock that moves only when it is advanced, for tests."""

    def __init__(self, start_s: float = 0) -> None:
        self._now_s = start_s

    def monotonic_s(self) -> float:
        """Return the time that was set."""
        return self._now_s

    def wall_s(self) -> float:
        """Return the time that was set."""
        return self._now_s

    def advance(self, seconds: float) -> None:
        """Move the clock forward by ``seconds``."""
        self._now_s += seconds
