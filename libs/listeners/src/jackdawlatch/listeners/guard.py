"""The memory that the requests of one server may take."""

from jackdawlatch.listeners import bounds, connections, refusals, roster
from jackdawlatch.policy import unfinished


class Guard:
    """Counts what requests take, and refuses some when it is too much."""

    def __init__(
        self,
        open_connections: roster.Roster,
        answers: refusals.Refusals | None = None,
    ) -> None:
        self.roster = open_connections
        self.refusals = answers or refusals.JsonRefusals()
        self.usage = connections.Usage()
        self._handler_bytes = 0

    @property
    def limits(self) -> bounds.Bounds:
        """The limits of the server."""
        return self.roster.limits

    @property
    def held_bytes(self) -> int:
        """The memory that all requests take."""
        return self.usage.reading_bytes + self._handler_bytes

    def restart(self, connection: connections.Connection) -> None:
        """Count a connection as waiting for its next request."""
        connection.release()
        connection.restart(self.roster.now_s())

    def hold(self, connection: connections.Connection, size: int) -> None:
        """Add to what a request takes, for which others may be closed."""
        connection.hold(size)
        self._free(0)

    def admit(self, connection: connections.Connection, size: int) -> bool:
        """Return whether a complete request of a size may be handled.

        One request is always handled, whatever its size.
        """
        connection.release()
        needed = size * self.limits.handler_factor
        self._free(needed)
        crowded = self.held_bytes + needed > self.limits.budget_bytes
        if crowded and needed and self._handler_bytes:
            self.roster.closed.count(unfinished.Limit.BUDGET)
            return False
        connection.enter(connections.Phase.HANDLER, self.roster.now_s())
        self._handler_bytes += needed
        return True

    def answered(self, size: int) -> None:
        """Stop counting a request of a size that was handled."""
        self._handler_bytes -= size * self.limits.handler_factor

    def refuse(
        self, connection: connections.Connection, limit: unfinished.Limit
    ) -> None:
        """Count a refusal; the connection is closed after a while."""
        self.roster.closed.count(limit)
        self.linger(connection)

    def linger(self, connection: connections.Connection) -> None:
        """Let a connection end within the time for reading its answer."""
        connection.release()
        connection.enter(connections.Phase.CLOSE, self.roster.now_s())

    def _free(self, needed: int) -> None:
        """Close the largest requests if ``needed`` bytes are not free."""
        budget = self.limits.budget_bytes
        excess = self.held_bytes + needed - budget
        if excess <= 0:
            return
        spare = int(budget * roster.SPARE_FRACTION)
        self.roster.close(
            unfinished.largest(self.roster.closable(), excess + spare),
            unfinished.Limit.BUDGET,
        )
