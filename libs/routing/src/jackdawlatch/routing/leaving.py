"""The hosts that are leaving their pools, and get no new work."""

import enum
from collections.abc import Iterable


class Sign(enum.StrEnum):
    """The observation from which a process infers that a host is leaving."""

    REFUSED = 'refused'
    ANSWERED = 'answered'


# A refused connection may be due to a restart, so that sign expires soon; an
# answer that says so comes from the host itself.
REFUSED_EXPIRY_S = 2.0
ANSWERED_EXPIRY_S = 60.0


class LeavingHosts:
    """The set of leaving hosts: those observed and those listed.

    Signs observed here or by peers expire.  Listed hosts, from the membership
    or the host list, stay until the list is replaced.
    """

    def __init__(self) -> None:
        self._expiry_s_by_host: dict[str, float] = {}
        self._listed: frozenset[str] = frozenset()

    def record_sign(self, host: str, sign: Sign, now_s: float) -> bool:
        """Record a sign observed here; return whether to notify peers."""
        is_new = not self.is_leaving(host, now_s)
        answered = sign is Sign.ANSWERED
        validity_s = ANSWERED_EXPIRY_S if answered else REFUSED_EXPIRY_S
        self._extend(host, now_s + validity_s)
        return is_new

    def record_peer_sign(
        self, host: str, remaining_s: float, now_s: float
    ) -> None:
        """Record a sign observed by a peer, valid for ``remaining_s``."""
        self._extend(host, now_s + min(remaining_s, ANSWERED_EXPIRY_S))

    def set_listed_hosts(self, hosts: Iterable[str]) -> None:
        """Replace the hosts that the membership or the host list report."""
        self._listed = frozenset(hosts)

    def discard_signs(self, host: str) -> None:
        """Discard the signs of a host that has joined a pool again."""
        self._expiry_s_by_host.pop(host, None)

    def is_leaving(self, host: str, now_s: float) -> bool:
        """Return whether a host is leaving."""
        return host in self._listed or self._remaining_s(host, now_s) > 0

    def remaining_s_by_host(self, now_s: float) -> dict[str, float]:
        """Return the remaining validity of signs by host, in seconds."""
        self._expiry_s_by_host = {
            host: expiry_s
            for host, expiry_s in self._expiry_s_by_host.items()
            if expiry_s > now_s
        }
        return {
            host: expiry_s - now_s
            for host, expiry_s in self._expiry_s_by_host.items()
        }

    def _remaining_s(self, host: str, now_s: float) -> float:
        return self._expiry_s_by_host.get(host, now_s) - now_s

    def _extend(self, host: str, expiry_s: float) -> None:
        known_s = self._expiry_s_by_host.get(host, expiry_s)
        self._expiry_s_by_host[host] = max(known_s, expiry_s)
