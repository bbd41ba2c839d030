"""What the clients of one server may use."""

import dataclasses

from jackdawlatch.policy import unfinished

# Python objects and buffers of a connection besides the kernel's buffer; an
# open connection that sends nothing takes about 15 KB.
CONNECTION_BYTES = 32_768
# The kernel doubles the size that is set for a receive buffer.
KERNEL_FACTOR = 2
# Servers for the load balancer and the operator have few clients.
CONTROL_CONNECTIONS = 32
CONTROL_BYTES = 1_048_576
# A job of 10,000 minimal steps takes 36 times the size of its body while it is
# decoded and stored; one with usual steps takes 8 times.
HANDLER_FACTOR = 36


@dataclasses.dataclass(frozen=True)
class Bounds:
    """The limits; ``budget_bytes`` is for all requests of a server.

    A complete body counts ``handler_factor`` times until it is answered.
    """

    max_connections: int
    budget_bytes: int
    max_body_bytes: int
    max_header_bytes: int
    receive_buffer_bytes: int
    pace: unfinished.Pace
    handler_factor: int = HANDLER_FACTOR

    def for_control(self) -> 'Bounds':
        """Return the bounds of a server whose requests have no body."""
        return dataclasses.replace(
            self,
            max_connections=CONTROL_CONNECTIONS,
            budget_bytes=CONTROL_BYTES,
            max_body_bytes=0,
        )


def connections_within(memory_bytes: float, receive_buffer_bytes: int) -> int:
    """Return how many connections fit in ``memory_bytes``."""
    kernel_bytes = KERNEL_FACTOR * receive_buffer_bytes
    return int(memory_bytes / (CONNECTION_BYTES + kernel_bytes))
