"""Estimates of service times, and static shares for use without a broker."""

import collections
from collections.abc import Mapping, Sequence

from jackdawlatch.model import work

DEFAULT_ESTIMATE_S = 0.05
MAX_KINDS = 1000
# The weight of the newest sample in the moving average.
SAMPLE_WEIGHT = 0.1


class ServiceTimes:
    """Moving averages of the measured slot-seconds per request, by kind."""

    def __init__(self, default_s: float = DEFAULT_ESTIMATE_S) -> None:
        self._default_s = default_s
        self._mean_s_by_kind: dict[work.Kind, float] = {}

    def estimate_s(self, kind: work.Kind) -> float:
        """Return the slot-seconds that a request of a kind should take."""
        return self._mean_s_by_kind.get(kind, self._default_s)

    def observe(self, kind: work.Kind, seconds: float) -> None:
        """Record how long a request held its slot."""
        mean_s = self._mean_s_by_kind.pop(kind, seconds)
        # Callers choose team names, so the number of kinds is unbounded; the
        # least recently observed ones are dropped.
        if len(self._mean_s_by_kind) >= MAX_KINDS:
            self._mean_s_by_kind.pop(next(iter(self._mean_s_by_kind)))
        self._mean_s_by_kind[kind] = mean_s + SAMPLE_WEIGHT * (seconds - mean_s)


def static_slots(
    slots_by_host: Mapping[str, int], entries: Sequence[str], entry: str
) -> dict[str, int]:
    """Return one entry's share of the slots, by host.

    All slots are numbered and assigned to the entries round-robin, so that
    the shares of entries that see the same lists never overlap.  An entry
    that would get no slot gets one that another has too, which is safe
    because a runner refuses work beyond its slots.
    """
    all_entries = sorted({*entries, entry})
    position = all_entries.index(entry)
    numbered = [
        host
        for host, slots in sorted(slots_by_host.items())
        for _ in range(slots)
    ]
    own_slots = numbered[position :: len(all_entries)]
    if numbered and not own_slots:
        own_slots = [numbered[position % len(numbered)]]
    return dict(collections.Counter(own_slots))


def static_connections(connections_per_host: int, entries: int) -> int:
    """Return how many connections an entry may open to each runner."""
    return max(1, connections_per_host // max(1, entries))
