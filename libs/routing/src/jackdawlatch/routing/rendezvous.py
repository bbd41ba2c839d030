"""Rendezvous hashing: all processes choose the same owner of a key."""

import heapq
from collections.abc import Iterable, Mapping

import xxhash


def score(key: str, member: str) -> int:
    """Return the 64-bit score of a member for a key."""
    return xxhash.xxh3_64_intdigest(f'{member}\0{key}'.encode())


def owner(key: str, members: Iterable[str]) -> str | None:
    """Return the member that owns a key, None if there are no members."""
    return max(members, key=lambda member: score(key, member), default=None)


def ranked(key: str, members: Iterable[str], count: int) -> list[str]:
    """Return the ``count`` members with the highest scores, owner first."""
    return heapq.nlargest(count, members, key=lambda member: score(key, member))


def entries_for(target: str, entries: Iterable[str], count: int) -> list[str]:
    """Return the ``count`` entries that may connect to a target."""
    return ranked(target, entries, count)


def subset(
    entry: str, targets: Iterable[str], entries: Iterable[str], count: int
) -> list[str]:
    """Return the targets that an entry may connect to.

    Each target is assigned to exactly ``count`` entries, or to all if there
    are fewer.  This bounds the connections to a target; on average, an entry
    has ``targets * count / entries`` targets.
    """
    members = sorted({*entries, entry})
    return [
        target
        for target in targets
        if entry in entries_for(target, members, count)
    ]


def load_by_member(
    keys: Iterable[str], members: Iterable[str]
) -> Mapping[str, int]:
    """Return how many of the keys each member owns."""
    counts = {member: 0 for member in members}
    for key in keys:
        key_owner = owner(key, counts)
        if key_owner is not None:
            counts[key_owner] += 1
    return counts
