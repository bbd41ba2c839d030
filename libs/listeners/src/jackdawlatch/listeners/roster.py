"""The open connections of one server."""

import asyncio
from collections.abc import Iterable

from jackdawlatch.listeners import bounds, closings, connections, streams
from jackdawlatch.model import clocks
from jackdawlatch.policy import unfinished

SWEEP_S = 1
# After a refusal, the client gets this time to stop sending: closing a
# connection with unread bytes would discard the answer.
LINGER_S = 1
# Place is made for several at once, so that a crowd does not cause a choice
# among all connections at each arrival.
SPARE_FRACTION = 0.06

_WAITING = frozenset((connections.Phase.HEADERS, connections.Phase.BODY))


class Roster:
    """Closes connections that are too many or too slow."""

    def __init__(
        self,
        limits: bounds.Bounds,
        clock: clocks.Clock,
        closed: closings.Closings,
    ) -> None:
        self.limits = limits
        self.closed = closed
        self._clock = clock
        self._connections_by_id: dict[int, connections.Connection] = {}
        self._last_id = 0
        self._sweeping = False

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._connections_by_id)

    def now_s(self) -> float:
        """Return the time that the connections are observed by."""
        return self._clock.monotonic_s()

    def open(
        self, stream: streams.CountedStream, usage: connections.Usage
    ) -> connections.Connection:
        """Add a connection, for which others may be closed."""
        if len(self) >= self.limits.max_connections:
            self._make_place()
        if len(self) >= self.limits.max_connections:
            self.closed.count(unfinished.Limit.CONNECTIONS)
            stream.close()
        self._last_id += 1
        opened = connections.Connection(
            self._last_id, stream, usage, self.now_s()
        )
        self._connections_by_id[opened.id] = opened
        if not self._sweeping:
            self._sweeping = True
            self._sweep_later()
        return opened

    def drop(self, connection: connections.Connection) -> None:
        """Remove a connection that was closed."""
        connection.release()
        self._connections_by_id.pop(connection.id, None)

    def closable(self) -> list[unfinished.Connection]:
        """Return the connections that may be closed."""
        now_s = self.now_s()
        return [
            connection.state(now_s)
            for connection in self._connections_by_id.values()
            if connection.phase is not connections.Phase.HANDLER
        ]

    def close(
        self,
        states: Iterable[unfinished.Connection],
        limit: unfinished.Limit,
    ) -> None:
        """Refuse the requests of connections, and close them."""
        for state in states:
            connection = self._connections_by_id[state.id]
            if connection.phase is not connections.Phase.CLOSE:
                self.closed.count(limit)
            connection.release()
            connection.close()
            if connection.stream.closed():
                self._connections_by_id.pop(state.id, None)

    def _make_place(self) -> None:
        count = max(1, int(self.limits.max_connections * SPARE_FRACTION))
        self.close(
            unfinished.slowest(self.closable(), count, self.limits.pace),
            unfinished.Limit.CONNECTIONS,
        )

    def _sweep_later(self) -> None:
        asyncio.get_running_loop().call_later(SWEEP_S, self._sweep)

    def _sweep(self) -> None:
        now_s = self.now_s()
        for connection in tuple(self._connections_by_id.values()):
            connection.observe(now_s)
            state = connection.state(now_s)
            limit = self._overdue(connection.phase, state)
            if limit is not None:
                self.close([state], limit)
        self.closed.log(len(self))
        self._sweeping = bool(self._connections_by_id)
        if self._sweeping:
            self._sweep_later()

    def _overdue(
        self, phase: connections.Phase, state: unfinished.Connection
    ) -> unfinished.Limit | None:
        pace = self.limits.pace
        if phase in _WAITING:
            return unfinished.overdue(state, pace)
        limit_s = pace.idle_timeout_s
        if phase is connections.Phase.CLOSE:
            limit_s = LINGER_S
        return unfinished.Limit.IDLE_TIME if state.silent_s > limit_s else None
