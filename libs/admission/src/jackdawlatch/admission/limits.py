"""Estimates of service times, and the static share without a broker."""

import collections
from collections.abc import Mapping, Sequence

from jackdawlatch.model import work

FIRST_ESTIMATE_S = 0.05
MAX_KINDS = 1000
# The weight of the newest sample in the moving average.
SAMPLE_WEIGHT = 0.1


class ServiceTimes:
    """Moving averages of the slot-seconds that each kind really takes."""

    def __init__(self, first_s: float = FIRST_ESTIMATE_S) -> None:
        self._first_s = first_s
        self._mean_s_by_kind: dict[work.Kind, float] = {}

    def estimate_s(self, kind: work.Kind) -> float:
        """Return the expected slot-seconds of one request of a kind."""
        return self._mean_s_by_kind.get(kind, self._first_s)

    def observe(self, kind: work.Kind, seconds: float) -> None:
        """Take note of how long a request held its slot."""
        mean_s = self._mean_s_by_kind.pop(kind, seconds)
        # Teams are named by callers: the kinds seen least lately go first.
        if len(self._mean_s_by_kind) >= MAX_KINDS:
            self._mean_s_by_kind.pop(next(iter(self._mean_s_by_kind)))
        self._mean_s_by_kind[kind] = mean_s + SAMPLE_WEIGHT * (seconds - mean_s)


def static_slots(
    slots_by_host: Mapping[str, int], entries: Sequence[str], entry: str
) -> dict[str, int]:
    """Return one entry's part of every runner's slots.

    All slots are numbered and dealt out to the entries in turn, so that
    entries that see the same lists never overlap.  An entry that gets none
    is given one: a runner refuses work beyond its slots.
    """
    members = sorted({*entries, entry})
    position = members.index(entry)
    numbered = [
        host
        for host, slots in sorted(slots_by_host.items())
        for _ in range(slots)
    ]
    dealt = numbered[position :: len(members)]
    if numbered and not dealt:
        dealt = [numbered[position % len(numbered)]]
    return dict(collections.Counter(dealt))


def static_connections(connections_per_host: int, entries: int) -> int:
    """Return how many connections an entry may open to each runner."""
    return max(1, connections_per_host // max(1, entries))
