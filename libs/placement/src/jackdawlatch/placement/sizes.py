"""Arithmetic on capacities: processors, memory and accelerators."""

from jackdawlatch.model import hosts

ZERO = hosts.Capacity()
# Rounding errors of sums are smaller than this.
TOLERANCE = 1e-6


def add(one: hosts.Capacity, other: hosts.Capacity) -> hosts.Capacity:
    """Return the sum of two sizes."""
    return hosts.Capacity(
        processors=one.processors + other.processors,
        memory_mb=one.memory_mb + other.memory_mb,
        accelerators=one.accelerators + other.accelerators,
    )


def subtract(one: hosts.Capacity, other: hosts.Capacity) -> hosts.Capacity:
    """Return the difference of two sizes; resources may be negative."""
    return hosts.Capacity(
        processors=one.processors - other.processors,
        memory_mb=one.memory_mb - other.memory_mb,
        accelerators=one.accelerators - other.accelerators,
    )


def minimum(one: hosts.Capacity, other: hosts.Capacity) -> hosts.Capacity:
    """Return the minimum of each resource."""
    return hosts.Capacity(
        processors=min(one.processors, other.processors),
        memory_mb=min(one.memory_mb, other.memory_mb),
        accelerators=min(one.accelerators, other.accelerators),
    )


def maximum(one: hosts.Capacity, other: hosts.Capacity) -> hosts.Capacity:
    """Return the maximum of each resource."""
    return hosts.Capacity(
        processors=max(one.processors, other.processors),
        memory_mb=max(one.memory_mb, other.memory_mb),
        accelerators=max(one.accelerators, other.accelerators),
    )


def share(size: hosts.Capacity, total: hosts.Capacity) -> float:
    """Return the dominant share: the largest fraction of any resource."""
    return max(
        _fraction(size.processors, total.processors),
        _fraction(size.memory_mb, total.memory_mb),
        _fraction(size.accelerators, total.accelerators),
    )


def fits_within(size: hosts.Capacity, capacity: hosts.Capacity) -> bool:
    """Whether a size fits within a capacity."""
    return (
        size.processors <= capacity.processors + TOLERANCE
        and size.memory_mb <= capacity.memory_mb + TOLERANCE
        and size.accelerators <= capacity.accelerators + TOLERANCE
    )


def _fraction(amount: float, total: float) -> float:
    return amount / total if total > 0 else 0
