"""Answers outside all limits, from a service that nobody controls.

Load pattern: answers that are endless, or many large ones at once that stop
short of their end.  The tests guard against a process that keeps all of it.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from returns import result

from jackdawlatch.backends import exchange
from jackdawlatch.testing import functions, waiting

MEGABYTE = 1024 * 1024
HEAD = b'HTTP/1.1 200 OK\r\n'
CHUNK = b'10000\r\n%b\r\n' % bytes(0x10000)
# The kernel's buffers of a connection may take this much more.
BUFFERED_BYTES = 16 * MEGABYTE
CROWD = 24


class Service:
    """Answers by path, and counts what was sent and the closed connections."""

    def __init__(self) -> None:
        self.client = exchange.Client(CROWD)
        self.sent_bytes = 0
        self.closed = 0
        self.writers: list[asyncio.StreamWriter] = []
        self.answering: list[asyncio.Task[None]] = []

    async def send(self, path: str) -> exchange.Failed | bytes:
        sent = await self.client.send(
            exchange.Outgoing(f'{self.url}{path}', timeout_s=20)
        )
        if isinstance(sent, result.Success):
            return sent.unwrap().body
        return sent.failure()

    async def close(self) -> None:
        self.client.close()
        for writer in self.writers:
            writer.transport.abort()
        await asyncio.gather(*self.answering)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.append(writer)
        answering = asyncio.current_task()
        if answering is not None:
            self.answering.append(answering)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                await self._answer(head.split()[1], reader, writer)
        self.closed += 1
        writer.close()

    async def _answer(
        self,
        path: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if path == b'/endless':
            writer.write(b'%bTransfer-Encoding: chunked\r\n\r\n' % HEAD)
            while True:
                await self._write(writer, CHUNK)
        if path == b'/headers':
            writer.write(HEAD)
            while True:
                await self._write(writer, b'a: %b\r\n' % (b'b' * 900))
        size = MEGABYTE if path == b'/page' else 3 * MEGABYTE
        writer.write(b'%bContent-Length: %d\r\n\r\n' % (HEAD, size))
        if path == b'/page':
            await self._write(writer, bytes(size))
            return
        await self._write(writer, bytes(size - 1))
        await reader.read()

    async def _write(self, writer: asyncio.StreamWriter, part: bytes) -> None:
        self.sent_bytes += len(part)
        writer.write(part)
        await writer.drain()


@contextlib.asynccontextmanager
async def service() -> AsyncIterator[Service]:
    created = Service()
    server = await asyncio.start_server(created.serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    created.url = f'http://127.0.0.1:{port}'
    try:
        yield created
    finally:
        server.close()
        await created.close()


async def test_endless_answer_ends_at_the_bound(service: Service) -> None:
    answered = await service.send('/endless')
    assert isinstance(answered, exchange.Unanswered)
    sent_mb = service.sent_bytes / MEGABYTE
    assert service.sent_bytes < 4 * MEGABYTE + BUFFERED_BYTES, sent_mb


async def test_endless_headers_end_at_the_bound(service: Service) -> None:
    answered = await service.send('/headers')
    assert isinstance(answered, exchange.Unanswered)
    sent_mb = service.sent_bytes / MEGABYTE
    assert service.sent_bytes < BUFFERED_BYTES, sent_mb


async def test_page_of_documented_size_is_received(service: Service) -> None:
    assert await service.send('/page') == bytes(MEGABYTE)


async def test_large_unfinished_answers_are_aborted(service: Service) -> None:
    crowd = [
        asyncio.create_task(service.send('/unfinished')) for _ in range(CROWD)
    ]
    # Five unfinished answers of 3 MB are within the 16 MB for all of them.
    with contextlib.suppress(TimeoutError):
        await waiting.until(lambda: service.closed >= CROWD - 5)
    assert service.closed >= CROWD - 5, service.closed
    # A small answer is not what makes room for others.
    assert await service.send('/page') == bytes(MEGABYTE)
    for sending in crowd:
        sending.cancel()


load_tests = functions.loader(__name__, {'service': service})
