"""The state of a client's connection."""

import enum
from collections.abc import Callable

from jackdawlatch.listeners import streams
from jackdawlatch.policy import unfinished


class Phase(enum.Enum):
    """What the current request of a connection waits for."""

    HEADERS = enum.auto()
    BODY = enum.auto()
    HANDLER = enum.auto()
    CLOSE = enum.auto()


class Usage:
    """The memory that the requests being read from all connections take."""

    def __init__(self) -> None:
        self.reading_bytes = 0


class Connection:
    """One connection, with the request that is being read from it.

    ``refuse`` answers the request while its body is being read.
    """

    def __init__(
        self,
        connection_id: int,
        stream: streams.CountedStream,
        usage: Usage,
        now_s: float,
    ) -> None:
        self.id = connection_id
        self.stream = stream
        self.phase = Phase.HEADERS
        self.held_bytes = 0
        self.refuse: Callable[[], None] | None = None
        self._usage = usage
        self._start_bytes = 0
        self._seen_bytes = 0
        self._start_s = now_s
        self._seen_s = now_s

    @property
    def received_bytes(self) -> int:
        """The bytes of the current request that were read."""
        return self.stream.received_bytes - self._start_bytes

    def hold(self, size: int) -> None:
        """Add to the memory that the request takes."""
        self.held_bytes += size
        self._usage.reading_bytes += size

    def release(self) -> None:
        """Take back the memory of the request."""
        self._usage.reading_bytes -= self.held_bytes
        self.held_bytes = 0

    def restart(self, now_s: float) -> None:
        """Wait for the next request."""
        self.phase = Phase.HEADERS
        self.refuse = None
        self._start_bytes = self.stream.received_bytes
        self._start_s = now_s
        self._seen_s = now_s

    def enter(self, phase: Phase, now_s: float) -> None:
        """Enter another phase, which is progress."""
        self.phase = phase
        self._seen_s = now_s

    def observe(self, now_s: float) -> None:
        """Note whether there was progress since the last observation.

        The time that a handler takes is not the client's, unless the client
        does not read the answer.
        """
        if self.phase is Phase.HANDLER and not self.stream.writing():
            self._seen_s = now_s
        unchanged = self.stream.received_bytes == self._seen_bytes
        if unchanged or self.phase is Phase.CLOSE:
            return
        if self._seen_bytes <= self._start_bytes:
            self._start_s = now_s
        self._seen_bytes = self.stream.received_bytes
        self._seen_s = now_s

    def state(self, now_s: float) -> unfinished.Connection:
        """Return what decides whether to close the connection."""
        return unfinished.Connection(
            id=self.id,
            in_headers=self.phase is Phase.HEADERS,
            held_bytes=self.held_bytes,
            received_bytes=self.received_bytes,
            age_s=now_s - self._start_s,
            silent_s=now_s - self._seen_s,
        )

    def close(self) -> None:
        """Refuse the request if it can be answered, else only close."""
        if self.refuse is not None and self.phase is Phase.BODY:
            self.refuse()
        else:
            self.stream.close()
