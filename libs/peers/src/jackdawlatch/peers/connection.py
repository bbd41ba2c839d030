"""A connection between two processes, with any number of calls on it."""

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
from jackdawlatch.peers import frames, hybrid_clocks, splitting

READ_BYTES = 65_536
# A call that times out closes the stream if no data arrived for this long: the
# stream is taken for half open, as a peer that was cut off never closes it.
SILENCE_TIMEOUT_S = 5

MALFORMED = (ValueError, RecursionError, msgspec.MsgspecError)

Handler = Callable[[Any], Awaitable[records.Record]]
CallResult = result.Result[Any, frames.CallFailure]


async def connect(address: str) -> iostream.IOStream:
    """Return a stream to ``host:port``; raise ``OSError`` if refused."""
    host, _, port = address.rpartition(':')
    stream = await tcpclient.TCPClient().connect(host, int(port))
    stream.set_nodelay(True)
    return stream


@dataclasses.dataclass
class Traffic:
    """Numbers of bytes sent and received on all streams."""

    sent_bytes: int = 0
    received_bytes: int = 0


@dataclasses.dataclass(frozen=True)
class SharedContext:
    """The context that all connections of a process share.

    ``delay_s`` is added before each outgoing frame.
    """

    clock: hybrid_clocks.HybridClock
    handlers_by_name: dict[str, Handler]
    traffic: Traffic
    delay_s: float = 0
    unfinished: splitting.Budget = dataclasses.field(
        default_factory=splitting.Budget
    )


class Connection:
    """Sends and serves calls; matches replies by exchange number."""

    def __init__(
        self, stream: iostream.IOStream, context: SharedContext
    ) -> None:
        self._stream = stream
        self._context = context
        self._received_s = time.monotonic()
        self._exchange_numbers = itertools.count()
        self._pending_by_exchange: dict[int, asyncio.Future[CallResult]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def closed(self) -> bool:
        """Whether the stream can no longer be used."""
        return self._stream.closed()

    def close(self) -> None:
        """Close the stream; pending calls fail with ``Unanswered``."""
        self._stream.close()

    def start(self) -> None:
        """Serve the stream in a background task until it ends."""
        self._spawn(self.run())

    async def run(self) -> None:
        """Serve the stream until it ends or a frame is malformed."""
        splitter = splitting.Splitter(
            self._context.unfinished, self._stream.close
        )
        with contextlib.suppress(iostream.StreamClosedError):
            with contextlib.suppress(*MALFORMED):
                await self._read(splitter)
        splitter.close()
        for pending in self._pending_by_exchange.values():
            _resolve(pending, _unanswered('the stream was closed'))

    async def call(
        self, message: records.Record, timeout_s: float
    ) -> CallResult:
        """Send a message and return the body of its reply.

        Returns ``Unanswered`` after ``timeout_s`` or if the stream closes.
        """
        exchange = next(self._exchange_numbers)
        pending: asyncio.Future[CallResult] = asyncio.Future()
        self._pending_by_exchange[exchange] = pending
        try:
            async with asyncio.timeout(timeout_s):
                await self._send(frames.FrameType.CALL, exchange, message)
                return await pending
        except TimeoutError:
            self._close_if_silent()
            return _unanswered(f'no reply within {timeout_s} s')
        except iostream.StreamClosedError:
            return _unanswered('the stream was closed')
        finally:
            self._pending_by_exchange.pop(exchange, None)

    async def _read(self, splitter: splitting.Splitter) -> None:
        while True:
            received = await self._stream.read_bytes(READ_BYTES, partial=True)
            self._context.traffic.received_bytes += len(received)
            self._received_s = time.monotonic()
            for encoded in splitter.split(received):
                self._handle_frame(frames.decode(encoded))

    def _close_if_silent(self) -> None:
        if time.monotonic() - self._received_s > SILENCE_TIMEOUT_S:
            self._stream.close()

    def _handle_frame(self, frame: frames.Frame) -> None:
        self._context.clock.observe(frame.stamp)
        if frame.type is frames.FrameType.CALL:
            self._spawn(self._serve(frame))
            return
        pending = self._pending_by_exchange.pop(frame.exchange, None)
        if pending is None:
            return
        if frame.type is frames.FrameType.REPLY:
            _resolve(pending, result.Success(frame.body))
        else:
            refused = msgspec.convert(frame.body, frames.Refused)
            _resolve(pending, result.Failure(refused))

    async def _serve(self, frame: frames.Frame) -> None:
        handler = self._context.handlers_by_name.get(frame.name)
        kind = frames.FrameType.REPLY
        try:
            if handler is None:
                raise msgspec.ValidationError(
                    f'unknown message type {frame.name}'
                )
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
        if self._context.delay_s:
            await asyncio.sleep(self._context.delay_s)
        frame = frames.Frame(
            kind,
            exchange,
            type(record).__name__,
            self._context.clock.now(),
            frames.body_of(record),
        )
        encoded = frames.encode(frame)
        self._context.traffic.sent_bytes += len(encoded)
        await self._stream.write(encoded)

    def _spawn(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _resolve(pending: asyncio.Future[CallResult], outcome: CallResult) -> None:
    if not pending.done():
        pending.set_result(outcome)


def _unanswered(message: str) -> CallResult:
    return result.Failure(frames.Unanswered(message=message))
