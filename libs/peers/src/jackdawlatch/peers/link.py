"""One stream between two processes, with any number of calls on it."""

import asyncio
import contextlib
import dataclasses
import itertools
import time
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from returns import result
from tornado import iostream, tcpclient

from jackdawlatch.model import records
from jackdawlatch.peers import frames, stamps

READ_BYTES = 65_536
# A stream on which nothing came for so long while a call waited is taken for
# half open: the other side was cut off and will never close it.
SILENCE_S = 5

Handler = Callable[[Any], Awaitable[records.Record]]
Outcome = result.Result[Any, frames.CallFailure]


async def connect(address: str) -> iostream.IOStream:
    """Return a stream to ``host:port``; raises ``OSError`` when refused."""
    host, _, port = address.rpartition(':')
    stream = await tcpclient.TCPClient().connect(host, int(port))
    stream.set_nodelay(True)
    return stream


@dataclasses.dataclass
class Traffic:
    """How many bytes were sent and received on all streams."""

    sent_bytes: int = 0
    received_bytes: int = 0


@dataclasses.dataclass(frozen=True)
class Shared:
    """What all streams of a process share.

    ``delay_s`` is added before each outgoing frame.
    """

    clock: stamps.HybridClock
    handlers_by_name: dict[str, Handler]
    traffic: Traffic
    delay_s: float = 0


class Link:
    """Matches replies to calls by exchange number, never by order."""

    def __init__(self, stream: iostream.IOStream, shared: Shared) -> None:
        self._stream = stream
        self._shared = shared
        self._received_s = time.monotonic()
        self._numbers = itertools.count()
        self._waiting_by_exchange: dict[int, asyncio.Future[Outcome]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def closed(self) -> bool:
        """Whether the stream can no longer be used."""
        return self._stream.closed()

    def close(self) -> None:
        """Close the stream; calls that wait end as unanswered."""
        self._stream.close()

    def start(self) -> None:
        """Read the stream in the background until it ends."""
        self._spawn(self.run())

    async def run(self) -> None:
        """Read the stream until it ends."""
        unpacker = frames.unpacker()
        with contextlib.suppress(iostream.StreamClosedError):
            with contextlib.suppress(ValueError, msgspec.ValidationError):
                await self._read(unpacker)
        self._stream.close()
        for waiting in self._waiting_by_exchange.values():
            _settle(waiting, _lost('the stream was closed'))

    async def call(self, message: records.Record, timeout_s: float) -> Outcome:
        """Send a message and wait for the body of its reply."""
        exchange = next(self._numbers)
        waiting: asyncio.Future[Outcome] = asyncio.Future()
        self._waiting_by_exchange[exchange] = waiting
        try:
            async with asyncio.timeout(timeout_s):
                await self._send(frames.FrameType.CALL, exchange, message)
                return await waiting
        except TimeoutError:
            self._close_if_silent()
            return _lost(f'no reply within {timeout_s} s')
        except iostream.StreamClosedError:
            return _lost('the stream was closed')
        finally:
            self._waiting_by_exchange.pop(exchange, None)

    async def _read(self, unpacker: Any) -> None:
        while True:
            received = await self._stream.read_bytes(READ_BYTES, partial=True)
            self._shared.traffic.received_bytes += len(received)
            self._received_s = time.monotonic()
            unpacker.feed(received)
            for content in unpacker:
                self._receive(frames.decode(content))

    def _close_if_silent(self) -> None:
        if time.monotonic() - self._received_s > SILENCE_S:
            self._stream.close()

    def _receive(self, frame: frames.Frame) -> None:
        self._shared.clock.observe(frame.stamp)
        if frame.type is frames.FrameType.CALL:
            self._spawn(self._serve(frame))
            return
        waiting = self._waiting_by_exchange.pop(frame.exchange, None)
        if waiting is None:
            return
        if frame.type is frames.FrameType.REPLY:
            _settle(waiting, result.Success(frame.body))
        else:
            refused = msgspec.convert(frame.body, frames.Refused)
            _settle(waiting, result.Failure(refused))

    async def _serve(self, frame: frames.Frame) -> None:
        handler = self._shared.handlers_by_name.get(frame.name)
        kind = frames.FrameType.REPLY
        try:
            if handler is None:
                raise msgspec.ValidationError(f'unknown message {frame.name}')
            reply = await handler(frame.body)
        except msgspec.ValidationError as error:
            kind = frames.FrameType.FAILURE
            reply = frames.Refused(message=str(error))
        with contextlib.suppress(iostream.StreamClosedError):
            await self._send(kind, frame.exchange, reply)

    async def _send(
        self,
        kind: frames.FrameType,
        exchange: int,
        record: records.Record,
    ) -> None:
        if self._shared.delay_s:
            await asyncio.sleep(self._shared.delay_s)
        frame = frames.Frame(
            kind,
            exchange,
            type(record).__name__,
            self._shared.clock.now(),
            frames.body_of(record),
        )
        encoded = frames.encode(frame)
        self._shared.traffic.sent_bytes += len(encoded)
        await self._stream.write(encoded)

    def _spawn(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _settle(waiting: asyncio.Future[Outcome], outcome: Outcome) -> None:
    if not waiting.done():
        waiting.set_result(outcome)


def _lost(message: str) -> Outcome:
    return result.Failure(frames.Unanswered(message=message))
