"""A server with bounds, over loopback."""

import asyncio
import contextlib
import itertools

from tornado import netutil, web

from jackdawlatch.backends import exchange
from jackdawlatch.listeners import bounds, closings, guard, roster, server
from jackdawlatch.model import clocks
from jackdawlatch.policy import unfinished
from jackdawlatch.telemetry import decisions, meters
from jackdawlatch.testing import functions, waiting

LIMIT = 40_000
LIMITS = bounds.Bounds(
    max_connections=4,
    budget_bytes=100_000,
    max_body_bytes=LIMIT,
    max_header_bytes=2000,
    receive_buffer_bytes=16_384,
    pace=unfinished.Pace(
        header_timeout_s=5, idle_timeout_s=20, min_bytes_per_s=1000
    ),
)


class SizeHandler(web.RequestHandler):
    """Counts the requests that run; waits while ``going`` is not set."""

    def initialize(self, bench: 'Bench') -> None:
        self.bench = bench

    async def post(self) -> None:
        self.bench.runs += 1
        await self.bench.going.wait()
        self.write(str(len(self.request.body)))


class Bench:
    """A server and its clients."""

    def __init__(self) -> None:
        self.runs = 0
        self.writers: list[asyncio.StreamWriter] = []
        self.going = asyncio.Event()
        self.going.set()
        instruments = meters.Meters('test', 'test')
        clock = clocks.SystemClock()
        closed = closings.Closings(
            'test', instruments, decisions.DecisionLog('t', clock, instruments)
        )
        self.clients = guard.Guard(roster.Roster(LIMITS, clock, closed))
        self.server = server.create(
            [('.*', SizeHandler, {'bench': self})], self.clients
        )
        sockets = netutil.bind_sockets(0, '127.0.0.1')
        self.server.add_sockets(sockets)
        self.port = sockets[0].getsockname()[1]
        self._client = exchange.Client(4)

    async def post(self, size: int) -> exchange.Reply:
        outgoing = exchange.Outgoing(
            f'http://127.0.0.1:{self.port}/', 'POST', b' ' * size
        )
        return (await self._client.send(outgoing)).unwrap()

    async def open(self, *lines: bytes) -> asyncio.StreamReader:
        """Send lines over a connection that stays open."""
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        writer.write(b'\r\n'.join((b'POST / HTTP/1.1', b'Host: a', *lines)))
        self.writers.append(writer)
        return reader

    async def open_large(self, size: int) -> asyncio.StreamReader:
        """Send a body but its last byte."""
        length = b'Content-Length: %d' % (size + 1)
        return await self.open(length, b'', b' ' * size)


@contextlib.asynccontextmanager
async def bench():
    """Yield a server that is listening."""
    created = Bench()
    yield created
    for writer in created.writers:
        writer.close()
    created.server.stop()
    await created.server.close_all_connections()


async def test_body_at_the_limit_is_served(bench):
    assert (await bench.post(LIMIT)).body == b'40000'
    tiny_chunks = itertools.chain(*itertools.repeat((b'1', b' '), LIMIT))
    chunked = await bench.open(
        b'Transfer-Encoding: chunked', b'', *tiny_chunks, b'0', b'', b''
    )
    assert b' 200 ' in await chunked.readline()
    assert bench.clients.held_bytes == 0


async def test_announced_body_over_the_limit_is_too_large(bench):
    refused = await bench.post(LIMIT + 1)
    assert refused.status == 413
    assert not bench.runs
    for digits in (18, 1000):
        length = b'Content-Length: %b' % (b'9' * digits)
        waiting_client = await bench.open(length, b'', b'')
        assert b' 413 ' in await waiting_client.readline()


async def test_counted_body_over_the_limit_is_too_large(bench):
    chunk = (b'%x' % LIMIT, b' ' * LIMIT)
    chunked = await bench.open(
        b'Transfer-Encoding: chunked', b'', *chunk, *chunk, b''
    )
    assert b' 413 ' in await chunked.readline()
    assert b'close' in await chunked.read()
    assert not bench.runs


async def test_small_request_is_served_beside_a_crowd(bench):
    crowd = [await bench.open_large(39_000) for _ in range(3)]
    await waiting.until(lambda: len(bench.clients.roster) < 3)
    answers = [await asyncio.wait_for(crowd[0].readline(), 10)]
    assert b' 503 ' in answers[0] or not answers[0]
    assert (await bench.post(3)).status == 200
    assert bench.clients.held_bytes <= LIMITS.budget_bytes


async def test_complete_request_beyond_the_budget_is_not_run(bench):
    bench.going.clear()
    first = asyncio.create_task(bench.post(LIMIT))
    await waiting.until(lambda: bench.runs)
    refused = await bench.post(LIMIT)
    bench.going.set()
    assert refused.status == 503
    assert 'Retry-After' in refused.headers
    assert (await first).status == 200
    assert bench.runs == 1
    assert bench.clients.held_bytes == 0


async def test_malformed_request_is_not_counted_for_ever(bench):
    """Guards against requests that no handler ends, and stay counted."""
    length = b'Content-Length: %d' % LIMIT
    for malformed in (b'Host: b', b'Content-Type: multipart/form-data'):
        refused = await bench.open(malformed, length, b'', b' ' * LIMIT)
        assert await refused.readline() == b'HTTP/1.1 400 Bad Request\r\n'
        assert bench.clients.held_bytes == 0
    assert not bench.runs


async def test_new_connection_replaces_the_slowest(bench):
    crowd = [await bench.open(b'') for _ in range(8)]
    await waiting.until(lambda: len(bench.clients.roster) == 4)
    assert (await bench.post(3)).status == 200
    assert crowd


load_tests = functions.loader(__name__, {'bench': bench})
