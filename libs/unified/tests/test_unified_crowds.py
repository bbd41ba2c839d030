"""Clients outside all limits, against the daemon as a process.

Load pattern: a crowd of clients that send large, slow or endless requests and
stay open.  Each test guards against a daemon that ends, uses more memory or
descriptors than its host has, or no longer answers an ordinary caller.
"""

import asyncio
import signal

import crowd_bench
import crowd_clients
import crowd_daemon

from jackdawlatch.testing import functions, waiting

WHOLE = crowd_clients.with_length(
    crowd_clients.BODY_BYTES, 1, crowd_clients.BODY_BYTES - 1
)
PIECES = crowd_clients.with_length(
    crowd_clients.BODY_BYTES,
    crowd_clients.BODY_BYTES // crowd_clients.PIECE_BYTES - 1,
)
SLOW_PIECES = crowd_clients.Sending(PIECES.head, PIECES.piece[:512], 2000, 0.01)
LARGE_CHUNKS = crowd_clients.chunked(crowd_clients.BODY_BYTES // 4, 3)
SMALL_CHUNKS = crowd_clients.chunked(1024, 100, in_piece=10)
TINY_CHUNKS = crowd_clients.chunked(1, 20, in_piece=200)
ENDLESS_CHUNKS = crowd_clients.chunked(crowd_clients.PIECE_BYTES, 256)
ANNOUNCED = crowd_clients.with_length(100 * crowd_clients.BODY_BYTES, 1)
SENT = crowd_clients.with_length(8 * crowd_clients.BODY_BYTES, 128)
UNANNOUNCED = crowd_clients.chunked(8 * crowd_clients.BODY_BYTES, 1)
ENDLESS_HEADERS = crowd_clients.Sending(
    b'POST / HTTP/1.1\r\n', b'a: b\r\n' * 1000, pieces=4000
)
LARGE_HEADERS = crowd_clients.Sending(
    b'POST / HTTP/1.1\r\nHost: host.example\r\nContent-Length: 9\r\n'
    + b''.join(b'%x:\r\n' % number for number in range(2600))
    + b'\r\n'
)
SLOW_HEADERS = crowd_clients.Sending(
    b'POST / HTTP/1.1\r\n', b'a: b\r\n', 200, 0.05
)
SILENT = crowd_clients.Sending(b'')
MIX = (
    WHOLE,
    PIECES,
    LARGE_CHUNKS,
    TINY_CHUNKS,
    ANNOUNCED,
    UNANNOUNCED,
    SLOW_HEADERS,
    LARGE_HEADERS,
)


async def test_whole_bodies_short_of_their_end(daemon):
    await _withstands(daemon, WHOLE)


async def test_bodies_in_pieces_short_of_their_end(daemon):
    await _withstands(daemon, PIECES, SLOW_PIECES)


async def test_large_chunks_short_of_their_end(daemon):
    await _withstands(daemon, LARGE_CHUNKS)


async def test_small_chunks_short_of_their_end(daemon):
    await _withstands(daemon, SMALL_CHUNKS, TINY_CHUNKS)


async def test_endless_chunks(daemon):
    await _withstands(daemon, ENDLESS_CHUNKS)


async def test_bodies_over_the_limit_that_are_announced(daemon):
    await _withstands(daemon, ANNOUNCED, SENT)


async def test_bodies_over_the_limit_without_length(daemon):
    await _withstands(daemon, UNANNOUNCED)


async def test_headers_that_never_end(daemon):
    await _withstands(daemon, SLOW_HEADERS, ENDLESS_HEADERS)


async def test_many_headers_before_an_unfinished_body(daemon):
    await _withstands(daemon, LARGE_HEADERS)


async def test_mixed_crowd(daemon):
    await _withstands(daemon, *MIX)


async def test_crowd_beside_ordinary_callers(daemon):
    callers = asyncio.create_task(_keep_calling(daemon))
    await _withstands(daemon, *MIX)
    callers.cancel()
    await asyncio.gather(callers, return_exceptions=True)


async def test_second_crowd_while_the_first_one_stays(daemon):
    async with crowd_clients.crowd(daemon, (WHOLE,), 75):
        await _withstands(daemon, LARGE_CHUNKS, PIECES)


async def test_more_connections_than_descriptors(daemon_with_few_descriptors):
    daemon = daemon_with_few_descriptors
    async with crowd_clients.crowd(daemon, (SILENT, SLOW_HEADERS), 200):
        await daemon.check()


async def test_crowd_at_the_balancers_and_metrics_ports(daemon):
    async with crowd_clients.crowd(daemon, MIX, 75, daemon.ready):
        async with crowd_clients.crowd(daemon, MIX, 75, daemon.metrics):
            await daemon.check()


async def test_daemon_ends_by_itself_beside_a_crowd(daemon):
    async with crowd_clients.crowd(daemon, MIX):
        daemon.process.signal(signal.SIGTERM)
        await waiting.until(lambda: daemon.process.exit_status is not None)
        assert daemon.process.exit_status == 0, daemon.process.output_tail()


async def _withstands(
    daemon: crowd_daemon.Daemon, *sendings: crowd_clients.Sending
) -> None:
    async with crowd_clients.crowd(daemon, sendings):
        await daemon.check()
    await daemon.check()


async def _keep_calling(daemon: crowd_daemon.Daemon) -> None:
    while True:
        await daemon.answers()


load_tests = functions.loader(
    __name__,
    {
        'daemon': crowd_bench.daemon,
        'daemon_with_few_descriptors': crowd_bench.daemon_with_few_descriptors,
    },
)
