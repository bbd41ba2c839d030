"""Counts the connections that a server closes, by limit."""

import collections

from jackdawlatch.policy import unfinished
from jackdawlatch.telemetry import decisions, meters


class Closings:
    """Counts in the metrics; writes at most one line a second and limit."""

    def __init__(
        self,
        server: str,
        instruments: meters.Meters,
        log: decisions.DecisionLog,
    ) -> None:
        self._server = server
        self._instruments = instruments
        self._log = log
        self._counts_by_limit: collections.Counter[unfinished.Limit]
        self._counts_by_limit = collections.Counter()

    def count(self, limit: unfinished.Limit) -> None:
        """Count a request that was refused or a connection that was closed."""
        self._counts_by_limit[limit] += 1
        self._instruments.count(
            'clients_closed', server=self._server, limit=limit.value
        )

    def log(self, connections: int) -> None:
        """Write what was counted since the last call."""
        for limit, count in self._counts_by_limit.items():
            self._log.note(
                'clients-closed',
                server=self._server,
                limit=limit.value,
                count=count,
                connections=connections,
            )
        self._counts_by_limit.clear()
