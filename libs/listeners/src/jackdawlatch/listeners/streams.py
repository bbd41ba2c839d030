"""Streams that count what they have read."""

import socket

from tornado import iostream


class CountedStream(iostream.IOStream):
    """Counts the bytes that were read from the client."""

    def __init__(self, connected: socket.socket, chunk_bytes: int) -> None:
        super().__init__(connected, read_chunk_size=chunk_bytes)
        self.received_bytes = 0

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read from the socket."""
        count = super().read_from_fd(buf)
        self.received_bytes += count or 0
        return count
