"""One structured line for each decision, bounded in volume, never blocking."""

import os
import sys
from typing import TextIO

import msgspec

from jackdawlatch.model import clocks
from jackdawlatch.telemetry import meters

# Keeps the log of one process below about 40 KB a second.
LINES_PER_S = 200
BURST_LINES = 400


class DecisionLog:
    """Writes JSON lines and counts them by event, also those not written."""

    def __init__(
        self,
        process: str,
        clock: clocks.Clock,
        own_meters: meters.Meters,
        stream: TextIO = sys.stdout,
    ) -> None:
        self.dropped = 0
        self._meters = own_meters
        own_meters.gauge('log_lines_dropped', lambda: self.dropped)
        self._process = process
        self._clock = clock
        self._stream = stream
        self._allowance: float = BURST_LINES
        self._refilled_s = clock.monotonic_s()
        os.set_blocking(stream.fileno(), False)

    def note(self, event: str, **details: str | float | int) -> None:
        """Write a line, unless the rate is used up or the pipe is full."""
        self._meters.count('decisions', event=event)
        if not self._allowed():
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

    def _allowed(self) -> bool:
        now_s = self._clock.monotonic_s()
        refill = (now_s - self._refilled_s) * LINES_PER_S
        self._refilled_s = now_s
        self._allowance = min(BURST_LINES, self._allowance + refill)
        if self._allowance < 1:
            return False
        self._allowance -= 1
        return True
