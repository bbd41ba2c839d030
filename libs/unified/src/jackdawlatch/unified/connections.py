"""HTTP clients of the daemon, with bounds on what they read."""

import dataclasses

from jackdawlatch.backends import (
    exchange,
    replies,
    silent_addresses,
    transfers,
)
from jackdawlatch.scheduler import polling
from jackdawlatch.telemetry import meters
from jackdawlatch.unified import settings as unified_settings

STORE_CONNECTIONS = 24
REQUEST_CONNECTIONS = 160
MACHINE_CONNECTIONS = 64


@dataclasses.dataclass(frozen=True)
class Connections:
    """Clients of one leadership term.

    There is one for each kind of exchange, so that none queues for another.
    """

    requests: exchange.Client
    waiting_polls: exchange.Client
    machine_requests: exchange.Client

    def close(self) -> None:
        """Close every connection once its exchange has ended."""
        for client in (
            self.requests,
            self.waiting_polls,
            self.machine_requests,
        ):
            client.close()


class Clients:
    """Creates the clients.

    The store has a budget of its own: it has to answer while other services
    send too much.
    """

    def __init__(
        self, limits: unified_settings.Limits, instruments: meters.Meters
    ) -> None:
        self._limits = limits
        max_bytes = int(limits.replies_mb * replies.MEGABYTE)
        self._store_budget = replies.Budget(max_bytes)
        self._service_budget = replies.Budget(max_bytes)
        self._counts = transfers.Counts()
        self._silent = silent_addresses.SilentAddresses()
        for name, budget in (
            ('store', self._store_budget),
            ('service', self._service_budget),
        ):
            _register(instruments, name, budget)
        instruments.gauge('connections_opened', lambda: self._counts.opened)
        instruments.gauge(
            'reused_connection_timeouts', lambda: self._counts.reused_timeouts
        )

    def store(self) -> exchange.Client:
        """Return the client of the store."""
        return self._create(STORE_CONNECTIONS, self._store_budget)

    def term(self) -> Connections:
        """Return the clients of a new leadership term."""
        budget = self._service_budget
        return Connections(
            requests=self._create(REQUEST_CONNECTIONS, budget),
            waiting_polls=self._create(polling.MAX_WAITING_POLLS, budget),
            machine_requests=self._create(MACHINE_CONNECTIONS, budget),
        )

    def _create(
        self, max_concurrent: int, budget: replies.Budget
    ) -> exchange.Client:
        return exchange.Client(
            max_concurrent,
            self._limits.max_reply_bytes,
            budget,
            self._counts,
            self._silent,
        )


def _register(
    instruments: meters.Meters, name: str, budget: replies.Budget
) -> None:
    instruments.gauge(f'{name}_reply_bytes', lambda: budget.held_bytes)
    instruments.gauge(f'{name}_replies_aborted', lambda: budget.aborted)
