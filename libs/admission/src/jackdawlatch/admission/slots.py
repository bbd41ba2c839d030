"""The slots of a service's runners, and which of them can be granted."""

import collections
import dataclasses
from collections.abc import Mapping

from jackdawlatch.routing import choice, health, leaving

# A runner that answers that it is busy is also used by others, so it gets no
# work for a while; the pause doubles with each such answer in a row.
FIRST_PAUSE_S = 0.02
MAX_PAUSE_S = 1.0
# The capacity is recomputed when it is older than this.
CAPACITY_AGE_S = 0.05


@dataclasses.dataclass
class Pause:
    """Until when a busy runner gets no work, and the length of that pause."""

    until_s: float = 0
    length_s: float = 0


class Slots:
    """Counts the slots in use at each runner."""

    def __init__(
        self, runner_health: health.Health, leaving_hosts: leaving.Leaving
    ) -> None:
        self._health = runner_health
        self._leaving_hosts = leaving_hosts
        self._slots_by_host: dict[str, int] = {}
        self._in_use_by_host: collections.Counter[str] = collections.Counter()
        self._pauses_by_host: dict[str, Pause] = {}
        self._free: set[str] = set()
        self._capacity = 0
        self._capacity_at_s: float = float('-inf')

    def set_hosts(self, slots_by_host: Mapping[str, int]) -> None:
        """Replace the runners; slots in use at removed ones stay counted."""
        self._slots_by_host = dict(slots_by_host)
        self._health.set_hosts(slots_by_host)
        self._capacity_at_s = float('-inf')
        self._free = {
            host
            for host, slots in slots_by_host.items()
            if self._in_use_by_host[host] < slots
        }

    def capacity(self, now_s: float) -> int:
        """Return the number of slots of all runners that accept work."""
        if now_s - self._capacity_at_s > CAPACITY_AGE_S:
            self._capacity_at_s = now_s
            self._capacity = sum(
                slots
                for host, slots in self._slots_by_host.items()
                if self._health.usable(host)
                and not self._leaving_hosts.has(host, now_s)
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
        """Pause a runner, because it answered that it is busy."""
        pause = self._pauses_by_host.setdefault(host, Pause())
        if pause.until_s > now_s:
            return
        pause.length_s = min(
            MAX_PAUSE_S, max(FIRST_PAUSE_S, 2 * pause.length_s)
        )
        pause.until_s = now_s + pause.length_s

    def resume(self, host: str) -> None:
        """End the pause of a runner, because it accepted work."""
        self._pauses_by_host.pop(host, None)

    def candidates(self, now_s: float) -> list[choice.Candidate]:
        """Return the runners that can be sent a request."""
        return [
            self._candidate(host)
            for host in sorted(self._free)
            if self._health.usable(host) and self._accepts_work(host, now_s)
        ]

    def probes(self, now_s: float) -> list[str]:
        """Return the ejected runners that can be sent a probe."""
        return [
            host
            for host in self._health.due(now_s)
            if self._accepts_work(host, now_s)
        ]

    def _accepts_work(self, host: str, now_s: float) -> bool:
        if host not in self._free:
            return False
        pause = self._pauses_by_host.get(host)
        if pause and pause.until_s > now_s:
            return False
        return not self._leaving_hosts.has(host, now_s)

    def _candidate(self, host: str) -> choice.Candidate:
        return choice.Candidate(
            host=host,
            in_use=self._in_use_by_host[host],
            slots=self._slots_by_host[host],
            success=self._health.success(host),
        )
