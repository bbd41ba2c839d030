"""Which connections of clients to close, and when.

Load pattern: many clients that send large or slow requests and stay open,
beside ordinary callers whose requests are small and complete at once.  Only
connections without a complete request are ever offered to these decisions, so
closing one never ends a request that runs.
"""

import enum
from collections.abc import Iterable, Sequence
from typing import NamedTuple

# A request of this size is closed to free memory only if no larger one is
# left, since most ordinary requests are smaller.
SMALL_BYTES = 16_384


class Limit(enum.StrEnum):
    """The limit that a client met."""

    BODY = 'body'
    BUDGET = 'budget'
    CONNECTIONS = 'connections'
    HEADER_TIME = 'header-time'
    IDLE_TIME = 'idle-time'
    RATE = 'rate'


class Connection(NamedTuple):
    """A connection whose request is not complete, or has not begun.

    ``age_s`` counts from the first byte of the request, or from the end of the
    previous one, and ``silent_s`` from the last byte.  ``held_bytes`` is the
    memory that the request takes; ``received_bytes`` were read from the client.
    """

    id: int
    in_headers: bool
    held_bytes: int
    received_bytes: int
    age_s: float
    silent_s: float


class Pace(NamedTuple):
    """How slow a client may be."""

    header_timeout_s: float
    idle_timeout_s: float
    min_bytes_per_s: float


def overdue(connection: Connection, pace: Pace) -> Limit | None:
    """Return the limit of time that a connection has exceeded, if any."""
    if connection.silent_s > pace.idle_timeout_s:
        return Limit.IDLE_TIME
    if not connection.received_bytes:
        return None
    if connection.in_headers and connection.age_s > pace.header_timeout_s:
        return Limit.HEADER_TIME
    if _lateness_s(connection, pace) > pace.idle_timeout_s:
        return Limit.RATE
    return None


def largest(
    connections: Iterable[Connection], excess_bytes: int
) -> Sequence[Connection]:
    """Return the connections to close so that ``excess_bytes`` are freed."""
    by_size = sorted(connections, key=_size_order, reverse=True)
    freed = 0
    for count, connection in enumerate(by_size):
        if freed >= excess_bytes or not connection.held_bytes:
            return by_size[:count]
        freed += connection.held_bytes
    return by_size


def slowest(
    connections: Iterable[Connection], count: int, pace: Pace
) -> Sequence[Connection]:
    """Return up to ``count`` connections to close to make place for others."""
    return sorted(
        connections,
        key=lambda connection: _lateness_s(connection, pace),
        reverse=True,
    )[:count]


def _size_order(connection: Connection) -> tuple[bool, int, float]:
    return (
        connection.held_bytes > SMALL_BYTES,
        connection.held_bytes,
        connection.age_s,
    )


def _lateness_s(connection: Connection, pace: Pace) -> float:
    """Return by how much a request lags behind the minimum rate."""
    return connection.age_s - connection.received_bytes / pace.min_bytes_per_s
