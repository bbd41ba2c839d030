"""The slots of a service's runners, and which of them can be given out."""

import collections
import dataclasses
from collections.abc import Mapping

from jackdawlatch.routing import choice, health, leaving

# A runner that says it is busy is used by others: it rests for a while.
FIRST_PAUSE_S = 0.02
MAX_PAUSE_S = 1.0
# The capacity is added up anew when it is older than this.
CAPACITY_AGE_S = 0.05


@dataclasses.dataclass
class Pause:
    """When a busy runner may be given work again, and its last pause."""

    until_s: float = 0
    length_s: float = 0


class Slots:
    """Counts the slots in use at each runner."""

    def __init__(self, pool: health.Health, signs: leaving.Leaving) -> None:
        self._health = pool
        self._leaving = signs
        self._slots_by_host: dict[str, int] = {}
        self._in_use_by_host: collections.Counter[str] = collections.Counter()
        self._pauses_by_host: dict[str, Pause] = {}
        self._free: set[str] = set()
        self._capacity = 0
        self._counted_s: float = float('-inf')

    def set_hosts(self, slots_by_host: Mapping[str, int]) -> None:
        """Replace the runners; slots in use at lost ones stay counted."""
        self._slots_by_host = dict(slots_by_host)
        self._health.set_hosts(slots_by_host)
        self._counted_s = float('-inf')
        self._free = {
            host
            for host, slots in slots_by_host.items()
            if self._in_use_by_host[host] < slots
        }

    def capacity(self, now_s: float) -> int:
        """Return the slots of all runners that take work."""
        if now_s - self._counted_s > CAPACITY_AGE_S:
            self._counted_s = now_s
            self._capacity = sum(
                slots
                for host, slots in self._slots_by_host.items()
                if self._health.usable(host)
                and not self._leaving.has(host, now_s)
            )
        return self._capacity

    def take(self, host: str) -> None:
        """Count a slot as in use."""
        self._in_use_by_host[host] += 1
        if self._in_use_by_host[host] >= self._slots_by_host.get(host, 0):
            self._free.discard(host)

    def free(self, host: str) -> None:
        """Count a slot as free."""
        self._in_use_by_host[host] -= 1
        if self._in_use_by_host[host] < self._slots_by_host.get(host, 0):
            self._free.add(host)

    def pause(self, host: str, now_s: float) -> None:
        """Take note that a runner had no free slot."""
        pause = self._pauses_by_host.setdefault(host, Pause())
        if pause.until_s > now_s:
            return
        pause.length_s = min(
            MAX_PAUSE_S, max(FIRST_PAUSE_S, 2 * pause.length_s)
        )
        pause.until_s = now_s + pause.length_s

    def resume(self, host: str) -> None:
        """Take note that a runner took work."""
        self._pauses_by_host.pop(host, None)

    def candidates(self, now_s: float) -> list[choice.Candidate]:
        """Return the runners that can be given a request."""
        return [
            self._candidate(host)
            for host in sorted(self._free)
            if self._health.usable(host) and self._open(host, now_s)
        ]

    def probes(self, now_s: float) -> list[str]:
        """Return the ejected runners that can be given a probe."""
        return [
            host for host in self._health.due(now_s) if self._open(host, now_s)
        ]

    def _open(self, host: str, now_s: float) -> bool:
        if host not in self._free:
            return False
        pause = self._pauses_by_host.get(host)
        if pause and pause.until_s > now_s:
            return False
        return not self._leaving.has(host, now_s)

    def _candidate(self, host: str) -> choice.Candidate:
        return choice.Candidate(
            host=host,
            in_use=self._in_use_by_host[host],
            slots=self._slots_by_host[host],
            success=self._health.success(host),
        )
