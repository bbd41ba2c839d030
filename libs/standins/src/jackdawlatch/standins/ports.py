"""Free loopback ports, outside the range that outgoing connections use.

A process that is started again needs the port it had, which an outgoing
connection of another process might hold by then.
"""

import random
import socket

from jackdawlatch.standins import serving

FIRST_PORT = 15_000
LAST_PORT = 32_000
MAX_TRIES = 1000


class Ports:
    """Hands out ports that are free, each only once."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._taken: set[int] = set()

    def take(self) -> int:
        """Return a free port; raises ``OSError`` when none is found."""
        for _ in range(MAX_TRIES):
            port = self._rng.randint(FIRST_PORT, LAST_PORT)
            if port not in self._taken and _is_free(port):
                self._taken.add(port)
                return port
        raise OSError('no free port was found')


class FixedPorts(Ports):
    """Hands out ports in order, free or not, for examples."""

    def __init__(self) -> None:
        super().__init__(random.Random(0))
        self._next_port = FIRST_PORT

    def take(self) -> int:
        """Return the next port."""
        self._next_port += 1
        return self._next_port


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((serving.LOOPBACK, port))
        except OSError:
            return False
        return True
