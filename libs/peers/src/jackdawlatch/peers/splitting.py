"""Splits streams into frames, and bounds what unfinished frames take.

Load pattern: many peers send large frames that stop short of their end.
"""

from collections.abc import Callable, Iterator

import msgpack
from absl import logging

MAX_FRAME_BYTES = 4 * 1024 * 1024
MAX_UNFINISHED_BYTES = 67_108_864
# An unfinished frame is kept in the buffer, and in that of the unpacker.
COPIES = 2
# A line for each closed stream would not be bounded in volume.
LOG_S = 1


class TooLong(ValueError):
    """A frame exceeds ``MAX_FRAME_BYTES``."""


class Budget:
    """The memory of the unfinished frames of all streams.

    If they exceed it together, the streams with the largest are closed, which
    ``closed`` counts.
    """

    def __init__(self) -> None:
        self.held_bytes = 0
        self.closed = 0
        self._unfinished: set[Splitter] = set()

    def hold(self, splitter: 'Splitter', size: int) -> None:
        """Set what a stream takes, for which others may be closed."""
        self.held_bytes += size - splitter.held_bytes
        splitter.held_bytes = size
        if not size:
            self._unfinished.discard(splitter)
            return
        self._unfinished.add(splitter)
        while self.held_bytes > MAX_UNFINISHED_BYTES:
            self.closed += 1
            logging.log_every_n_seconds(
                logging.WARNING,
                'peer streams closed: unfinished frames are over %s bytes',
                LOG_S,
                MAX_UNFINISHED_BYTES,
            )
            max(self._unfinished, key=_held_bytes).close()


class Splitter:
    """Finds the ends of the frames in one stream.

    An unfinished frame is kept as bytes: decoded, it may take 70 times as much.
    """

    def __init__(
        self, budget: Budget, close_stream: Callable[[], None]
    ) -> None:
        self.held_bytes = 0
        self._budget = budget
        self._close_stream = close_stream
        self._unpacker = msgpack.Unpacker(max_buffer_size=2 * MAX_FRAME_BYTES)
        self._buffer = bytearray()
        self._start = 0

    def split(self, received: bytes) -> Iterator[bytes]:
        """Yield each frame that is complete now.

        Raises ``ValueError`` if the stream is malformed or a frame too long.
        """
        self._buffer += received
        self._unpacker.feed(received)
        begin = 0
        while self._skip():
            end = self._unpacker.tell() - self._start
            yield bytes(self._buffer[begin:end])
            begin = end
        if begin:
            self._start += begin
            self._buffer = self._buffer[begin:]
        if len(self._buffer) > MAX_FRAME_BYTES:
            raise TooLong(f'a frame is over {MAX_FRAME_BYTES} bytes')
        self._budget.hold(self, COPIES * len(self._buffer))

    def close(self) -> None:
        """Discard the unfinished frame and close the stream."""
        self._buffer = bytearray()
        self._unpacker = msgpack.Unpacker()
        self._budget.hold(self, 0)
        self._close_stream()

    def _skip(self) -> bool:
        try:
            self._unpacker.skip()
        except msgpack.OutOfData:
            return False
        return True


def _held_bytes(splitter: Splitter) -> int:
    return splitter.held_bytes
