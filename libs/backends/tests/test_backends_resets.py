"""Requests that are given up while the network holds them."""

import asyncio
import contextlib

from returns import result

from jackdawlatch.backends import exchange
from jackdawlatch.testing import functions, waiting

TIMEOUT_S = 0.2


class Holder:
    """A server behind a network that holds what it receives.

    ``errors`` are how the connections have ended: None if in order.
    """

    def __init__(self) -> None:
        self.errors: list[BaseException | None] = []
        self.address = ''

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Receive a request, and answer nothing until the connection ends."""
        with contextlib.suppress(ConnectionError):
            await reader.read()
        self.errors.append(reader.exception())
        writer.close()


@contextlib.asynccontextmanager
async def holder():
    created = Holder()
    listening = await asyncio.start_server(created.serve, '127.0.0.1', 0)
    port = listening.sockets[0].getsockname()[1]
    created.address = f'127.0.0.1:{port}'
    yield created
    listening.close()


async def test_request_that_was_given_up_arrives_late(holder):
    """Guards against an order that arrives after the same one of the next leader.

    A connection that ends in order delivers what was sent on it before.
    """
    client = exchange.Client()
    sent = await client.send(
        exchange.Outgoing(
            f'http://{holder.address}/',
            method='POST',
            body=b'order',
            timeout_s=TIMEOUT_S,
        )
    )
    assert isinstance(sent, result.Failure)
    await waiting.until(lambda: holder.errors)
    assert isinstance(holder.errors[0], ConnectionResetError)
    client.close()


load_tests = functions.loader(__name__, {'holder': holder})
