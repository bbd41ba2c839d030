"""Connections that go silent: they carry nothing more, and are not reset."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator

from returns import result

from jackdawlatch.backends import exchange, http_runners, silent_addresses
from jackdawlatch.model import clocks, work
from jackdawlatch.testing import functions

OK = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
TIMEOUT_S = 0.3
CONNECTIONS = 8


class Server:
    """An HTTP server whose open connections can go silent.

    ``opened`` counts connections, ``ended`` those that the client has closed, and
    ``full`` is set once there are ``CONNECTIONS``.  Answers wait for ``answers``.
    """

    def __init__(self) -> None:
        self.opened = 0
        self.ended = 0
        self.full = asyncio.Event()
        self.answers = asyncio.Event()
        self.answers.set()
        self.address = ''
        self._generation = 0
        self._writers: list[asyncio.StreamWriter] = []

    def silence(self) -> None:
        """Let every open connection go silent; new ones work."""
        self._generation += 1

    async def close(self) -> None:
        """Close every connection."""
        for writer in self._writers:
            writer.close()
            with contextlib.suppress(OSError):
                await writer.wait_closed()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.append(writer)
        self.opened += 1
        if self.opened == CONNECTIONS:
            self.full.set()
        generation = self._generation
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                await reader.readuntil(b'\r\n\r\n')
                await self.answers.wait()
                if generation == self._generation:
                    writer.write(OK)
        self.ended += 1
        writer.close()


@contextlib.asynccontextmanager
async def serving() -> AsyncIterator[Server]:
    created = Server()
    listening = await asyncio.start_server(created.serve, '127.0.0.1', 0)
    port = listening.sockets[0].getsockname()[1]
    created.address = f'127.0.0.1:{port}'
    yield created
    listening.close()
    await created.close()


@contextlib.contextmanager
def client():
    created = exchange.Client()
    yield created
    created.close()


async def test_each_silent_connection_times_out(client, server):
    """Guards against a timeout for each idle connection to one address."""
    await _open(client, server)
    server.silence()
    assert not await _answered(client, server)
    for _ in range(CONNECTIONS):
        assert await _answered(client, server)
    assert server.opened == CONNECTIONS + 1
    # The others are dropped as they come up.
    await _send_all(client, server)
    assert server.ended == CONNECTIONS


async def test_silence_is_found_by_each_client_anew(server):
    silent = silent_addresses.SilentAddresses()
    clients = [exchange.Client(silent=silent) for _ in range(2)]
    for one in clients:
        await _open(one, server)
    server.silence()
    assert not await _answered(clients[0], server)
    for one in clients:
        assert await _answered(one, server)
        one.close()


async def test_connections_opened_after_silence_are_dropped(client, server):
    await _open(client, server)
    server.silence()
    assert not await _answered(client, server)
    await _send_all(client, server)
    opened = server.opened
    for _ in range(3):
        await _send_all(client, server)
    assert server.opened == opened


async def test_connection_of_a_long_request_is_lost(client, server):
    """Guards against new connections for requests that wait long."""
    server.answers.clear()
    waiting = asyncio.ensure_future(_answered(client, server, 10))
    await asyncio.sleep(0.1)
    assert not await _answered(client, server)
    server.answers.set()
    assert await waiting
    opened = server.opened
    assert await _answered(client, server)
    assert server.opened == opened


async def test_connections_to_other_addresses_are_dropped(client, server):
    async with serving() as other:
        for one in (server, other):
            await _open(client, one)
        server.silence()
        assert not await _answered(client, server)
        await _send_all(client, other)
        assert other.opened == CONNECTIONS


async def test_silence_between_two_requests_is_found_twice(client, server):
    await _open(client, server)
    for _ in range(2):
        server.silence()
        assert not await _answered(client, server)
        assert await _answered(client, server)


async def test_each_silent_connection_to_a_runner_times_out(server):
    """Guards against the same in the client of the separate daemons."""
    client = http_runners.HttpRunners(clocks.SystemClock())
    server.answers.clear()
    sending = asyncio.gather(
        *(_is_run(client, server, 5) for _ in range(CONNECTIONS))
    )
    await server.full.wait()
    server.answers.set()
    assert all(await sending)
    server.silence()
    assert not await _is_run(client, server)
    for _ in range(CONNECTIONS):
        assert await _is_run(client, server)
    assert server.opened == CONNECTIONS + 1
    client.close()


def test_marks_are_kept_for_ever():
    clock = clocks.ManualClock()
    silent = silent_addresses.SilentAddresses(clock.monotonic_s)
    silent.mark('a')
    assert not silent.trusts('a', 1)
    clock.advance(silent_addresses.MAX_IDLE_S + 1)
    silent.mark('b')
    assert 'a' not in silent
    assert silent.trusts('a', 1)


async def _open(client: exchange.Client, server: Server) -> None:
    """Leave idle connections, which all have answered."""
    server.answers.clear()
    sending = asyncio.ensure_future(_send_all(client, server))
    await server.full.wait()
    server.answers.set()
    await sending


async def _send_all(client: exchange.Client, server: Server) -> None:
    answered = await asyncio.gather(
        *(_answered(client, server, 5) for _ in range(CONNECTIONS))
    )
    assert all(answered)


async def _answered(
    client: exchange.Client, server: Server, timeout_s: float = TIMEOUT_S
) -> bool:
    sent = await client.send(
        exchange.Outgoing(f'http://{server.address}/', timeout_s=timeout_s)
    )
    return isinstance(sent, result.Success)


async def _is_run(
    client: http_runners.HttpRunners,
    server: Server,
    timeout_s: float = TIMEOUT_S,
) -> bool:
    request = work.Request(
        id='r1',
        kind=work.Kind(service='desk'),
        method='GET',
        path='/',
        deadline_s=time.time() + timeout_s,
        idempotent=True,
    )
    address = f'http://{server.address}'
    answered = await client.exchange(address, request, timeout_s)
    return isinstance(answered, result.Success)


load_tests = functions.loader(__name__, {'client': client, 'server': serving})
