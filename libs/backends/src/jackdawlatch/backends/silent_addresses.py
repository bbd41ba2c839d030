"""Which connections may be reused after others to their address went silent.

An open connection may stop carrying data without being reset, as the others to
the same address may have done with it.  Only a timeout shows that, one by one.
"""

import time
from collections.abc import Callable

import pycurl

from jackdawlatch.backends import sockets

# libcurl reuses no connection that was idle for longer.
MAX_IDLE_S = 118
# One request drops as many connections, and is then sent on a new one.
MAX_DROPPED = 32


class SilentAddresses:
    """The addresses at which a request got no answer, and what is trusted there.

    Clients may share them.  ``monotonic_s`` returns the time in seconds.
    """

    def __init__(
        self, monotonic_s: Callable[[], float] = time.monotonic
    ) -> None:
        self._monotonic_s = monotonic_s
        self._trusted_ports_by_address: dict[str, set[int]] = {}
        self._marked_s_by_address: dict[str, float] = {}

    def __contains__(self, address: str) -> bool:
        """Whether connections to an address have to be checked."""
        return address in self._marked_s_by_address

    def mark(self, address: str) -> None:
        """Trust no connection to an address that is open now."""
        now_s = self._monotonic_s()
        self._trusted_ports_by_address[address] = set()
        self._marked_s_by_address[address] = now_s
        for known, marked_s in tuple(self._marked_s_by_address.items()):
            if now_s - marked_s > MAX_IDLE_S:
                self._marked_s_by_address.pop(known)
                self._trusted_ports_by_address.pop(known)

    def trust(self, address: str, local_port: int) -> None:
        """Trust a connection that was opened, or has answered, just now."""
        if address in self:
            self._trusted_ports_by_address[address].add(local_port)

    def trusts(self, address: str, local_port: int) -> bool:
        """Whether an open connection may be used."""
        if address not in self:
            return True
        return local_port in self._trusted_ports_by_address[address]


class ConnectionCheck:
    """Checks the connection that libcurl has chosen for one request.

    ``stale`` tells whether it was refused; then nothing was sent on it.
    """

    def __init__(self, silent: SilentAddresses, address: str) -> None:
        self.stale = False
        self._silent = silent
        self._address = address
        self._dropped = 0
        self._opened = False
        self._local_port: int | None = None

    def prepare(self, curl: pycurl.Curl) -> None:
        """Set the options of the next attempt."""
        curl.setopt(pycurl.MAXAGE_CONN, MAX_IDLE_S)
        if self._dropped >= MAX_DROPPED:
            curl.setopt(pycurl.FRESH_CONNECT, 1)
        self.stale = False
        self._opened = False
        self._local_port = None
        curl.setopt(pycurl.SOCKOPTFUNCTION, self._on_opened)

    def admits(self, local_port: int) -> bool:
        """Whether the request may be sent on a connection."""
        self._local_port = local_port
        if self._opened:
            self._silent.trust(self._address, local_port)
        self.stale = not self._silent.trusts(self._address, local_port)
        # libcurl closes the connection of a request that is stopped here.
        self._dropped += self.stale
        return not self.stale

    def record_answer(self) -> None:
        """Trust the connection, since it has answered."""
        if self._local_port is not None:
            self._silent.trust(self._address, self._local_port)

    def record_timeout(self) -> None:
        """Distrust the connections to the address, if a request was sent."""
        if self._local_port is not None:
            self._silent.mark(self._address)

    def _on_opened(self, descriptor: int, _purpose: int) -> int:
        self._opened = True
        sockets.reset_on_close(descriptor)
        return pycurl.SOCKOPT_OK
