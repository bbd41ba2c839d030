"""Structured log of decisions, rate-limited and non-blocking."""

import os
import sys
from typing import TextIO

import msgspec

from jackdawlatch.model import clocks
from jackdawlatch.telemetry import meters

# Limits the log of one process to about 40 KB/s.
LINES_PER_S = 200
BURST_LINES = 400
# Each event has lines of its own, so that a flood of one event does not drop
# the others.
RESERVED_LINES_PER_S = 10
RESERVED_BURST_LINES = 20


class _Budget:
    """A token bucket of lines."""

    def __init__(
        self, lines_per_s: int, burst_lines: int, now_s: float
    ) -> None:
        self._lines_per_s = lines_per_s
        self._burst_lines = burst_lines
        self._available_lines: float = burst_lines
        self._refilled_s = now_s

    def take(self, now_s: float) -> bool:
        """Take one line; return whether there was one."""
        refill = (now_s - self._refilled_s) * self._lines_per_s
        self._refilled_s = now_s
        self._available_lines = min(
            self._burst_lines, self._available_lines + refill
        )
        if self._available_lines < 1:
            return False
        self._available_lines -= 1
        return True


class DecisionLog:
    """Writes one JSON line for each event.

    Every event is counted in the metrics, also when its line is dropped.
    """

    def __init__(
        self,
        process: str,
        clock: clocks.Clock,
        process_meters: meters.Meters,
        stream: TextIO = sys.stdout,
    ) -> None:
        self.dropped = 0
        self._meters = process_meters
        process_meters.gauge('log_lines_dropped', lambda: self.dropped)
        self._process = process
        self._clock = clock
        self._stream = stream
        self._shared = _Budget(LINES_PER_S, BURST_LINES, clock.monotonic_s())
        self._reserved_by_event: dict[str, _Budget] = {}
        os.set_blocking(stream.fileno(), False)

    def note(self, event: str, **details: str | float | int) -> None:
        """Write a line, or drop it if over the rate limit or the pipe is full."""
        self._meters.count('decisions', event=event)
        if not self._take_line(event):
            self.dropped += 1
            return
        line = {
            'time_s': round(self._clock.wall_s(), 3),
            'process': self._process,
            'event': event,
            **details,
        }
        if self.dropped:
            line['dropped_before'] = self.dropped
        encoded = bytearray(msgspec.json.encode(line))
        encoded.extend(b'\n')
        try:
            os.write(self._stream.fileno(), encoded)
        except BlockingIOError:
            self.dropped += 1

    def count(self, event: str) -> None:
        """Count an event that has no line of its own."""
        self._meters.count('decisions', event=event)

    def _take_line(self, event: str) -> bool:
        now_s = self._clock.monotonic_s()
        reserved = self._reserved_by_event.setdefault(
            event, _Budget(RESERVED_LINES_PER_S, RESERVED_BURST_LINES, now_s)
        )
        return reserved.take(now_s) or self._shared.take(now_s)
