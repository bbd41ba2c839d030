"""Serves calls of other processes and sends calls to them."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import msgspec
from returns import result
from tornado import iostream, tcpserver

from jackdawlatch.model import records
from jackdawlatch.peers import connection as connections
from jackdawlatch.peers import frames, hybrid_clocks

Reply = TypeVar('Reply', bound=records.Record)
Incoming = TypeVar('Incoming', bound=records.Record)


class Endpoint(tcpserver.TCPServer):
    """Serves registered message types and calls other endpoints by address.

    ``delay_s`` is added before each outgoing frame.  It simulates the latency
    between availability zones when all processes run on one machine.
    """

    def __init__(
        self, clock: hybrid_clocks.HybridClock, delay_s: float = 0
    ) -> None:
        super().__init__()
        self.traffic = connections.Traffic()
        self._context = connections.SharedContext(
            clock, {}, self.traffic, delay_s
        )
        self.unfinished = self._context.unfinished
        self._connections_by_address: dict[str, connections.Connection] = {}
        self._incoming: set[connections.Connection] = set()

    def handle(
        self,
        message_type: type[Incoming],
        handler: Callable[[Incoming], Awaitable[records.Record]],
    ) -> None:
        """Register ``handler`` for calls that carry ``message_type``."""

        async def serve(body: Any) -> records.Record:  # noqa: WPS430 closes over both arguments.
            return await handler(msgspec.convert(body, message_type))

        self._context.handlers_by_name[message_type.__name__] = serve

    async def call(
        self,
        address: str,
        message: records.Record,
        reply_type: type[Reply],
        timeout_s: float,
    ) -> result.Result[Reply, frames.CallFailure]:
        """Send a message to ``host:port`` and return its reply.

        Connecting and waiting for the reply take up to ``timeout_s`` each.
        """
        opened = await self._connection_to(address, timeout_s)
        if isinstance(opened, result.Failure):
            return opened
        replied = await opened.unwrap().call(message, timeout_s)
        if isinstance(replied, result.Failure):
            return replied
        try:
            return result.Success(msgspec.convert(replied.unwrap(), reply_type))
        except msgspec.ValidationError as error:
            return result.Failure(frames.Unanswered(message=str(error)))

    async def handle_stream(
        self, stream: iostream.IOStream, address: Any
    ) -> None:
        """Serve an incoming stream until it ends."""
        stream.set_nodelay(True)
        connection = connections.Connection(stream, self._context)
        self._incoming.add(connection)
        try:
            await connection.run()
        finally:
            self._incoming.discard(connection)

    def close(self) -> None:
        """Stop serving and close every stream."""
        self.stop()
        for connection in (
            *self._connections_by_address.values(),
            *self._incoming,
        ):
            connection.close()
        self._connections_by_address.clear()

    async def _connection_to(
        self, address: str, timeout_s: float
    ) -> result.Result[connections.Connection, frames.Unreachable]:
        known = self._connections_by_address.get(address)
        if known and not known.closed:
            return result.Success(known)
        with contextlib.suppress(OSError, iostream.StreamClosedError):
            async with asyncio.timeout(timeout_s):
                return result.Success(await self._open(address))
        return result.Failure(
            frames.Unreachable(message=f'cannot connect to {address}')
        )

    async def _open(self, address: str) -> connections.Connection:
        stream = await connections.connect(address)
        # A concurrent call may have connected to the same peer meanwhile.
        known = self._connections_by_address.get(address)
        if known and not known.closed:
            stream.close()
            return known
        connection = connections.Connection(stream, self._context)
        self._connections_by_address[address] = connection
        connection.start()
        return connection
