"""HTTP clients of one leadership term."""

import dataclasses

from jackdawlatch.backends import exchange
from jackdawlatch.scheduler import polling

REQUEST_CONNECTIONS = 160
MACHINE_CONNECTIONS = 64


def _waiting_polls() -> exchange.Client:
    return exchange.Client(polling.MAX_WAITING_POLLS)


def _requests() -> exchange.Client:
    return exchange.Client(REQUEST_CONNECTIONS)


def _machine_requests() -> exchange.Client:
    return exchange.Client(MACHINE_CONNECTIONS)


@dataclasses.dataclass(frozen=True)
class Connections:
    """One client for each kind of exchange, so that none queues for another."""

    requests: exchange.Client = dataclasses.field(default_factory=_requests)
    waiting_polls: exchange.Client = dataclasses.field(
        default_factory=_waiting_polls
    )
    machine_requests: exchange.Client = dataclasses.field(
        default_factory=_machine_requests
    )

    def close(self) -> None:
        """Close every connection once its exchange has ended."""
        for client in (
            self.requests,
            self.waiting_polls,
            self.machine_requests,
        ):
            client.close()
