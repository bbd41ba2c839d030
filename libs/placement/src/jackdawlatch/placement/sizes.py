"""Arithmetic on sizes: processors, memory, accelerators."""

from jackdawlatch.model import hosts

NOTHING = hosts.Capacity()
# Sums of fractions are off by less than this.
TINY = 1e-6


def add(one: hosts.Capacity, other: hosts.Capacity) -> hosts.Capacity:
    """Return the sum of two sizes."""
    return hosts.Capacity(
        processors=one.processors + other.processors,
        memory_mb=one.memory_mb + other.memory_mb,
        accelerators=one.accelerators + other.accelerators,
    )


def subtract(one: hosts.Capacity, other: hosts.Capacity) -> hosts.Capacity:
    """Return what is left of a size, which may be below nothing."""
    return hosts.Capacity(
        processors=one.processors - other.processors,
        memory_mb=one.memory_mb - other.memory_mb,
        accelerators=one.accelerators - other.accelerators,
    )


def least(one: hosts.Capacity, other: hosts.Capacity) -> hosts.Capacity:
    """Return the smaller of each resource."""
    return hosts.Capacity(
        processors=min(one.processors, other.processors),
        memory_mb=min(one.memory_mb, other.memory_mb),
        accelerators=min(one.accelerators, other.accelerators),
    )


def most(one: hosts.Capacity, other: hosts.Capacity) -> hosts.Capacity:
    """Return the larger of each resource."""
    return hosts.Capacity(
        processors=max(one.processors, other.processors),
        memory_mb=max(one.memory_mb, other.memory_mb),
        accelerators=max(one.accelerators, other.accelerators),
    )


def share(size: hosts.Capacity, total: hosts.Capacity) -> float:
    """Return the dominant share: the largest fraction of a resource."""
    return max(
        _fraction(size.processors, total.processors),
        _fraction(size.memory_mb, total.memory_mb),
        _fraction(size.accelerators, total.accelerators),
    )


def within(size: hosts.Capacity, room: hosts.Capacity) -> bool:
    """Whether a size fits into a room."""
    return (
        size.processors <= room.processors + TINY
        and size.memory_mb <= room.memory_mb + TINY
        and size.accelerators <= room.accelerators + TINY
    )


def _fraction(amount: float, total: float) -> float:
    return amount / total if total > 0 else 0
