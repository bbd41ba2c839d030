"""The bounds of what clients of the operations address may use."""

from jackdawlatch.listeners import bounds, closings, guard, roster
from jackdawlatch.node import dependencies as node_dependencies
from jackdawlatch.policy import unfinished

# Operators, the load balancer and a collector of metrics have few connections.
MAX_CONNECTIONS = 64
BUDGET_BYTES = 16_777_216
# A document is one value of the store, which has 1 MB at most.
MAX_BODY_BYTES = 2_097_152
MAX_HEADER_BYTES = 65_536
RECEIVE_BUFFER_BYTES = 16_384
HANDLER_FACTOR = 4
HEADER_TIMEOUT_S = 30
IDLE_TIMEOUT_S = 300
MIN_BYTES_PER_S = 1024


def create(dependencies: node_dependencies.Dependencies) -> guard.Guard:
    """Return the guard of the operations server."""
    limits = bounds.Bounds(
        max_connections=MAX_CONNECTIONS,
        budget_bytes=BUDGET_BYTES,
        max_body_bytes=MAX_BODY_BYTES,
        max_header_bytes=MAX_HEADER_BYTES,
        receive_buffer_bytes=RECEIVE_BUFFER_BYTES,
        pace=unfinished.Pace(
            header_timeout_s=HEADER_TIMEOUT_S,
            idle_timeout_s=IDLE_TIMEOUT_S,
            min_bytes_per_s=MIN_BYTES_PER_S,
        ),
        handler_factor=HANDLER_FACTOR,
    )
    closed = closings.Closings(
        'operations', dependencies.meters, dependencies.log
    )
    clients = guard.Guard(roster.Roster(limits, dependencies.clock, closed))
    dependencies.meters.gauge(
        'operations_connections', lambda: len(clients.roster)
    )
    return clients
