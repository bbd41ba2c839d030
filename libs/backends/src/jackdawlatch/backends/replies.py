"""What replies may take in memory while they are read.

Load pattern: services answer without end, or send many large answers at once
that stop short of their end.
"""

from collections.abc import Callable

from absl import logging

MEGABYTE = 1024 * 1024
# The largest documented reply is a page of 1 MB, as base64 in JSON.
MAX_REPLY_BYTES = 4 * MEGABYTE
MAX_UNFINISHED_BYTES = 16_777_216
# A name and a value of a header take about this much besides their text.
HEADER_BYTES = 256
# A line for each aborted reply would not be bounded in volume.
LOG_S = 1


class Budget:
    """The memory of the unfinished replies of one or more clients.

    If they exceed ``max_bytes`` together, the largest ones are aborted.
    ``aborted`` counts these, and those that are too large by themselves.
    """

    def __init__(self, max_bytes: int = MAX_UNFINISHED_BYTES) -> None:
        self.held_bytes = 0
        self.aborted = 0
        self._max_bytes = max_bytes
        self._unfinished: set[Incoming] = set()

    def hold(self, reply: 'Incoming', size: int) -> None:
        """Add to what a reply takes, for which others may be aborted."""
        self._unfinished.add(reply)
        reply.held_bytes += size
        self.held_bytes += size
        while self.held_bytes > self._max_bytes:
            largest = max(self._unfinished, key=_held_bytes)
            largest.abort('the unfinished replies take too much memory')

    def release(self, reply: 'Incoming') -> None:
        """Take back what a reply took."""
        self._unfinished.discard(reply)
        self.held_bytes -= reply.held_bytes
        reply.held_bytes = 0


class Incoming:
    """A reply that is being read.

    ``problem`` tells why it was aborted; ``close`` then ends its transfer.
    """

    def __init__(self, budget: Budget, max_bytes: int) -> None:
        self.body = bytearray()
        self.problem = ''
        self.held_bytes = 0
        self.close: Callable[[], None] | None = None
        self._budget = budget
        self._max_bytes = max_bytes

    def add_header(self, line: bytes) -> bool:
        """Count a header; return whether to go on reading."""
        return self._hold(len(line) + HEADER_BYTES)

    def add_body(self, chunk: bytes) -> int:
        """Keep a part of the body; return how much of it was taken."""
        if not self._hold(len(chunk)):
            return 0
        self.body += chunk
        return len(chunk)

    def abort(self, problem: str) -> None:
        """Discard the reply and end its transfer."""
        self.problem = problem
        self.finish()
        self.body = bytearray()
        self._budget.aborted += 1
        logging.log_every_n_seconds(
            logging.WARNING, 'reply aborted: %s', LOG_S, problem
        )
        if self.close is not None:
            self.close()

    def finish(self) -> None:
        """Stop counting the reply."""
        self._budget.release(self)

    def _hold(self, size: int) -> bool:
        if not self.problem:
            if self.held_bytes + size > self._max_bytes:
                self.abort(f'the reply is over {self._max_bytes} bytes')
            else:
                self._budget.hold(self, size)
        return not self.problem


def _held_bytes(reply: Incoming) -> int:
    return reply.held_bytes
