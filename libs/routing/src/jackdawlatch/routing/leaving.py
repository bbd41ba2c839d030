"""The set of hosts that are leaving, from every sign there is."""

import enum
from collections.abc import Iterable


class Sign(enum.StrEnum):
    """How a process learnt that a host is leaving."""

    REFUSED = 'refused'
    ANSWERED = 'answered'


# A refused connection may be a restart; a leaving answer is the host's word.
REFUSED_EXPIRY_S = 2.0
ANSWERED_EXPIRY_S = 60.0


class Leaving:
    """Hosts that get no new work.

    Own signs and those of peers expire; the membership's word does not.
    """

    def __init__(self) -> None:
        self._until_s_by_host: dict[str, float] = {}
        self._listed: frozenset[str] = frozenset()

    def mark(self, host: str, sign: Sign, now_s: float) -> bool:
        """Take note of an own sign; whether peers should be told."""
        news = not self.has(host, now_s)
        answered = sign is Sign.ANSWERED
        lasting_s = ANSWERED_EXPIRY_S if answered else REFUSED_EXPIRY_S
        self._extend(host, now_s + lasting_s)
        return news

    def learn(self, host: str, remaining_s: float, now_s: float) -> None:
        """Take note of a peer's sign, which has ``remaining_s`` to go."""
        self._extend(host, now_s + min(remaining_s, ANSWERED_EXPIRY_S))

    def list_hosts(self, hosts: Iterable[str]) -> None:
        """Replace the hosts that the membership or host list call leaving."""
        self._listed = frozenset(hosts)

    def forget(self, host: str) -> None:
        """Drop the signs of a host that has joined anew."""
        self._until_s_by_host.pop(host, None)

    def has(self, host: str, now_s: float) -> bool:
        """Return whether a host is leaving."""
        return host in self._listed or self._remaining_s(host, now_s) > 0

    def signs(self, now_s: float) -> dict[str, float]:
        """Return the remaining seconds of each sign, to tell peers."""
        self._until_s_by_host = {
            host: until_s
            for host, until_s in self._until_s_by_host.items()
            if until_s > now_s
        }
        return {
            host: until_s - now_s
            for host, until_s in self._until_s_by_host.items()
        }

    def _remaining_s(self, host: str, now_s: float) -> float:
        return self._until_s_by_host.get(host, now_s) - now_s

    def _extend(self, host: str, until_s: float) -> None:
        known_s = self._until_s_by_host.get(host, until_s)
        self._until_s_by_host[host] = max(known_s, until_s)
