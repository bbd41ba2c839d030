"""Rendezvous hashing: every process picks the same owner of a key."""

import heapq
from collections.abc import Iterable, Mapping

import xxhash


def score(key: str, member: str) -> int:
    """Return the 64-bit score of a member for a key."""
    return xxhash.xxh3_64_intdigest(f'{member}\0{key}'.encode())


def owner(key: str, members: Iterable[str]) -> str | None:
    """Return the member that owns a key; none if there are no members."""
    return max(members, key=lambda member: score(key, member), default=None)


def ranked(key: str, members: Iterable[str], count: int) -> list[str]:
    """Return the first ``count`` members for a key, the owner first."""
    return heapq.nlargest(count, members, key=lambda member: score(key, member))


def entries_of(target: str, entries: Iterable[str], count: int) -> list[str]:
    """Return the ``count`` entries that may talk to a target."""
    return ranked(target, entries, count)


def subset(
    entry: str, targets: Iterable[str], entries: Iterable[str], count: int
) -> list[str]:
    """Return the targets that an entry talks to.

    Every target is given to exactly ``count`` entries, or to all if there
    are fewer.  So the number of connections to a target is bounded, and an
    entry has ``targets * count / entries`` targets on average.
    """
    members = sorted({*entries, entry})
    return [
        target
        for target in targets
        if entry in entries_of(target, members, count)
    ]


def load_by_member(
    keys: Iterable[str], members: Iterable[str]
) -> Mapping[str, int]:
    """Return how many of the keys each member owns."""
    counts = {member: 0 for member in members}
    for key in keys:
        chosen = owner(key, counts)
        if chosen is not None:
            counts[chosen] += 1
    return counts
