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
        self._available_lines: float = BURST_LINES
        self._refilled_s = clock.monotonic_s()
        os.set_blocking(stream.fileno(), False)

    def note(self, event: str, **details: str | float | int) -> None:
        """Write a line, or drop it if over the rate limit or the pipe is full."""
        self._meters.count('decisions', event=event)
        if not self._take_line():
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

    def _take_line(self) -> bool:
        now_s = self._clock.monotonic_s()
        refill = (now_s - self._refilled_s) * LINES_PER_S
        self._refilled_s = now_s
        self._available_lines = min(BURST_LINES, self._available_lines + refill)
        if self._available_lines < 1:
            return False
        self._available_lines -= 1
        return True
