"""Allocates free loopback ports outside the ephemeral port range.

A restarted process needs its port again; an ephemeral port could be in use by
then, for an outgoing connection of another process.
"""

import random
import socket

from jackdawlatch.standins import serving

FIRST_PORT = 15_000
LAST_PORT = 32_000
BLOCK_PORTS = 256


class Ports:
    """Hands out the ports of one block, each only once.

    The first port of the block is kept bound as a lock, so that concurrent
    runs use different blocks.
    """

    def __init__(self, rng: random.Random) -> None:
        self._lock, first_port = _hold_block(rng)
        self._next_port = first_port

    def take(self) -> int:
        """Return a free port; raises ``OSError`` if none is left."""
        last_port = self._lock.getsockname()[1] + BLOCK_PORTS - 1
        while self._next_port < last_port:
            self._next_port += 1
            if _is_free(self._next_port):
                return self._next_port
        raise OSError('no free port left in the block')

    def close(self) -> None:
        """Release the block."""
        self._lock.close()


class FixedPorts(Ports):
    """Hands out ports in order, free or not, for the example settings."""

    def __init__(self) -> None:
        """Start at ``FIRST_PORT``, without a lock."""
        self._next_port = FIRST_PORT

    def take(self) -> int:
        """Return the next port."""
        self._next_port += 1
        return self._next_port

    def close(self) -> None:
        """Do nothing, as there is no lock."""


def _hold_block(rng: random.Random) -> tuple[socket.socket, int]:
    """Return a socket bound to the first port of a free block, and the port."""
    blocks = list(range(FIRST_PORT, LAST_PORT - BLOCK_PORTS, BLOCK_PORTS))
    for first_port in rng.sample(blocks, len(blocks)):
        lock = socket.socket()
        try:
            lock.bind((serving.LOOPBACK, first_port))
        except OSError:
            lock.close()
            continue
        return lock, first_port
    raise OSError(f'no free block of ports from {FIRST_PORT} to {LAST_PORT}')


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((serving.LOOPBACK, port))
        except OSError:
            return False
        return True
