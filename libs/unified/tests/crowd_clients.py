"""Clients that stay open without finishing what they send."""

import asyncio
import contextlib
import dataclasses
import socket
from collections.abc import Sequence
from typing import Any

import unified_bench

CROWD = 150
PIECE_BYTES = 65_536
BODY_BYTES = 1024 * 1024
# Clients that are still blocked while sending are left alone after this time.
SETTLE_S = 5.0
SAMPLE_S = 0.1
LOOPBACK = '127.0.0.1'


@dataclasses.dataclass(frozen=True)
class Sending:
    """What a client sends before it stays open: a head, then equal pieces."""

    head: bytes
    piece: bytes = b''
    pieces: int = 0
    pause_s: float = 0


def with_length(length: int, pieces: int, piece: int = PIECE_BYTES) -> Sending:
    """Return a body of announced length, of which ``pieces`` are sent."""
    head = _head(f'Content-Length: {length}')
    return Sending(head, b' ' * piece, pieces)


def chunked(chunk: int, pieces: int, in_piece: int = 1) -> Sending:
    """Return a body in chunks, ``in_piece`` of them sent at once."""
    encoded = b'%x\r\n%b\r\n' % (chunk, b' ' * chunk)
    return Sending(
        _head('Transfer-Encoding: chunked'), encoded * in_piece, pieces
    )


def _head(field: str, path: str = unified_bench.PATH) -> bytes:
    lines = (f'POST {path} HTTP/1.1', 'Host: host.example', field, '', '')
    return '\r\n'.join(lines).encode()


@contextlib.asynccontextmanager
async def crowd(
    daemon: Any,
    sendings: Sequence[Sending],
    size: int = CROWD,
    port: int = 0,
):
    """Keep ``size`` clients open; yield once they have sent or are blocked."""
    with contextlib.ExitStack() as stack:
        address = (LOOPBACK, port or daemon.front)
        running = [
            asyncio.create_task(
                _send(stack, address, sendings[number % len(sendings)])
            )
            for number in range(size)
        ]
        sampling = asyncio.create_task(_keep_sampling(daemon))
        await asyncio.wait(running, timeout=SETTLE_S)
        try:
            yield
        finally:
            for task in (sampling, *running):
                task.cancel()
            await asyncio.gather(sampling, *running, return_exceptions=True)


async def _send(
    stack: contextlib.ExitStack, address: tuple[str, int], sending: Sending
) -> None:
    connection = stack.enter_context(socket.socket())
    connection.setblocking(False)
    loop = asyncio.get_running_loop()
    with contextlib.suppress(OSError):
        await loop.sock_connect(connection, address)
        await loop.sock_sendall(connection, sending.head)
        for _ in range(sending.pieces):
            await loop.sock_sendall(connection, sending.piece)
            await asyncio.sleep(sending.pause_s)


async def _keep_sampling(daemon: Any) -> None:
    while daemon.process.exit_status is None:
        daemon.sample()
        await asyncio.sleep(SAMPLE_S)
