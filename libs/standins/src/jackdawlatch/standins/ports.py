"""Free loopback ports, outside the range that outgoing connections use.

A process that is started again needs the port it had, which an outgoing
connection of another process might hold by then.
"""

import random
import socket

from jackdawlatch.standins import serving

FIRST_PORT = 15_000
LAST_PORT = 32_000
BLOCK_PORTS = 256


class Ports:
    """Hands out ports of one block, each only once.

    The first port of the block is held, so that runs at the same time have
    blocks of their own.
    """

    def __init__(self, rng: random.Random) -> None:
        self._lock, first_port = _hold_block(rng)
        self._next_port = first_port

    def take(self) -> int:
        """Return a free port; raises ``OSError`` when none is left."""
        last_port = self._lock.getsockname()[1] + BLOCK_PORTS - 1
        while self._next_port < last_port:
            self._next_port += 1
            if _is_free(self._next_port):
                return self._next_port
        raise OSError('no port of the block is free')

    def close(self) -> None:
        """Leave the block to others."""
        self._lock.close()


class FixedPorts(Ports):
    """Hands out ports in order, free or not, for examples."""

    def __init__(self) -> None:
        """Hold nothing."""
        self._next_port = FIRST_PORT

    def take(self) -> int:
        """Return the next port."""
        self._next_port += 1
        return self._next_port

    def close(self) -> None:
        """Do nothing, since nothing is held."""


def _hold_block(rng: random.Random) -> tuple[socket.socket, int]:
    """Return a socket that holds the first port of a free block."""
    blocks = list(range(FIRST_PORT, LAST_PORT - BLOCK_PORTS, BLOCK_PORTS))
    for first_port in rng.sample(blocks, len(blocks)):
        lock = socket.socket()
        try:
            lock.bind((serving.LOOPBACK, first_port))
        except OSError:
            lock.close()
            continue
        return lock, first_port
    raise OSError('no block of ports is free')


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((serving.LOOPBACK, port))
        except OSError:
            return False
        return True
