"""Peers outside all limits.

Load pattern: frames that are too long, or many large ones at once that stop
short of their end.  The tests guard against a process that keeps all of it.
"""

import asyncio
import contextlib
import tracemalloc
from collections.abc import AsyncIterator

from tornado import testing as tornado_testing

from jackdawlatch.model import clocks, records
from jackdawlatch.peers import endpoint, hybrid_clocks
from jackdawlatch.testing import functions, waiting

MEGABYTE = 1024 * 1024
CROWD = 24


class Echo(records.Record, frozen=True, kw_only=True):
    text: str


class Bench:
    """An endpoint, and the streams of peers that nobody controls."""

    def __init__(self) -> None:
        self.server = _endpoint('server')
        self.client = _endpoint('client')
        self.writers: list[asyncio.StreamWriter] = []
        self.closed = 0
        socket, self.port = tornado_testing.bind_unused_port()
        self.server.add_socket(socket)
        self.server.handle(Echo, _echo)

    async def send(self, content: bytes) -> None:
        """Send until the stream is closed by the endpoint."""
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        self.writers.append(writer)
        with contextlib.suppress(OSError):
            writer.write(content)
            await writer.drain()
            await reader.read()
        self.closed += 1

    async def serves(self) -> bool:
        address = f'127.0.0.1:{self.port}'
        reply = await self.client.call(address, Echo(text='x'), Echo, 5)
        return reply.map(lambda echo: echo.text == 'x').value_or(False)

    def close(self) -> None:
        for writer in self.writers:
            writer.transport.abort()
        self.client.close()
        self.server.close()


async def _echo(message: Echo) -> Echo:
    return message


def _endpoint(name: str) -> endpoint.Endpoint:
    return endpoint.Endpoint(
        hybrid_clocks.HybridClock(clocks.SystemClock(), name)
    )


@contextlib.asynccontextmanager
async def bench() -> AsyncIterator[Bench]:
    created = Bench()
    try:
        yield created
    finally:
        created.close()


async def test_too_long_frame_ends_its_stream(bench: Bench) -> None:
    async with asyncio.timeout(5):
        await bench.send(_binary(8 * MEGABYTE))
    assert await bench.serves()


async def test_unfinished_frame_is_kept_as_bytes(bench: Bench) -> None:
    # Decoded, an empty map takes 64 times its one byte.
    content = b'\xdd%b%b' % (MEGABYTE.to_bytes(4), b'\x80' * (MEGABYTE - 1))
    tracemalloc.start()
    sending = asyncio.create_task(bench.send(content))
    try:
        await waiting.until(
            lambda: bench.server.traffic.received_bytes >= len(content)
        )
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
        sending.cancel()
    assert peak_bytes < 16 * MEGABYTE, peak_bytes / MEGABYTE


async def test_large_unfinished_frames_are_dropped(bench: Bench) -> None:
    content = _binary(4 * MEGABYTE - 100)[:-1]
    crowd = [asyncio.create_task(bench.send(content)) for _ in range(CROWD)]
    try:
        # Eight of 4 MB, which are kept twice, are within 64 MB.
        await waiting.until(lambda: bench.closed >= CROWD - 8)
    finally:
        for sending in crowd:
            sending.cancel()
    assert await bench.serves()


def _binary(size: int) -> bytes:
    return b'\xc6%b%b' % (size.to_bytes(4), bytes(size))


load_tests = functions.loader(__name__, {'bench': bench})
