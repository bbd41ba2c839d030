"""One process's side of all its streams: serving calls and making them."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import msgspec
from returns import result
from tornado import iostream, tcpserver

from jackdawlatch.model import records
from jackdawlatch.peers import frames, link, stamps

Reply = TypeVar('Reply', bound=records.Record)
Incoming = TypeVar('Incoming', bound=records.Record)


class Endpoint(tcpserver.TCPServer):
    """Serves registered messages and calls other endpoints by address.

    ``delay_s`` is added before each outgoing frame; it stands for the
    distance between availability zones where all run on one machine.
    """

    def __init__(self, clock: stamps.HybridClock, delay_s: float = 0) -> None:
        super().__init__()
        self.traffic = link.Traffic()
        self._shared = link.Shared(clock, {}, self.traffic, delay_s)
        self._links_by_address: dict[str, link.Link] = {}
        self._incoming: set[link.Link] = set()

    def handle(
        self,
        message_type: type[Incoming],
        handler: Callable[[Incoming], Awaitable[records.Record]],
    ) -> None:
        """Serve calls that carry ``message_type`` by ``handler``."""

        async def serve(body: Any) -> records.Record:  # noqa: WPS430 closes over both arguments.
            return await handler(msgspec.convert(body, message_type))

        self._shared.handlers_by_name[message_type.__name__] = serve

    async def call(
        self,
        address: str,
        message: records.Record,
        reply_type: type[Reply],
        timeout_s: float,
    ) -> result.Result[Reply, frames.CallFailure]:
        """Send a message to ``host:port`` and wait for its reply."""
        opened = await self._link_to(address, timeout_s)
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
        """Serve one incoming stream until it ends."""
        stream.set_nodelay(True)
        served = link.Link(stream, self._shared)
        self._incoming.add(served)
        try:
            await served.run()
        finally:
            self._incoming.discard(served)

    def close(self) -> None:
        """Stop serving and close every stream."""
        self.stop()
        for opened in (*self._links_by_address.values(), *self._incoming):
            opened.close()
        self._links_by_address.clear()

    async def _link_to(
        self, address: str, timeout_s: float
    ) -> result.Result[link.Link, frames.Unreachable]:
        known = self._links_by_address.get(address)
        if known and not known.closed:
            return result.Success(known)
        with contextlib.suppress(OSError, iostream.StreamClosedError):
            async with asyncio.timeout(timeout_s):
                return result.Success(await self._open(address))
        return result.Failure(
            frames.Unreachable(message=f'cannot connect to {address}')
        )

    async def _open(self, address: str) -> link.Link:
        stream = await link.connect(address)
        # Another call may have opened a stream to the same peer meanwhile.
        known = self._links_by_address.get(address)
        if known and not known.closed:
            stream.close()
            return known
        opened = link.Link(stream, self._shared)
        self._links_by_address[address] = opened
        opened.start()
        return opened
