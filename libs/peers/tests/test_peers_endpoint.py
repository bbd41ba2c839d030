import asyncio
import contextlib
from collections.abc import AsyncIterator
from unittest import mock

from tornado import testing as tornado_testing

from jackdawlatch.model import clocks, records
from jackdawlatch.peers import connection, endpoint, frames, hybrid_clocks
from jackdawlatch.testing import functions


class Echo(records.Record, frozen=True, kw_only=True):
    text: str
    wait_s: float = 0


class Pair:
    def __init__(self) -> None:
        clock = clocks.SystemClock()
        self.server = endpoint.Endpoint(
            hybrid_clocks.HybridClock(clock, 'server')
        )
        self.client = endpoint.Endpoint(
            hybrid_clocks.HybridClock(clock, 'client')
        )
        socket, port = tornado_testing.bind_unused_port()
        self.server.add_socket(socket)
        self.server.handle(Echo, _echo)
        self.address = f'127.0.0.1:{port}'


async def _echo(message: Echo) -> Echo:
    await asyncio.sleep(message.wait_s)
    return message


@contextlib.asynccontextmanager
async def pair() -> AsyncIterator[Pair]:
    endpoints = Pair()
    yield endpoints
    endpoints.client.close()
    endpoints.server.close()


async def test_out_of_order_replies_reach_their_calls(pair: Pair) -> None:
    slow = Echo(text='slow', wait_s=0.05)
    quick = Echo(text='quick')
    replies = await asyncio.gather(
        *(
            pair.client.call(pair.address, message, Echo, 1)
            for message in (slow, quick)
        )
    )
    assert [reply.unwrap() for reply in replies] == [slow, quick]


async def test_call_to_a_closed_port_was_not_sent(pair: Pair) -> None:
    pair.server.close()
    reply = await pair.client.call(pair.address, Echo(text='x'), Echo, 1)
    assert isinstance(reply.failure(), frames.Unreachable)


async def test_call_without_reply_in_time_is_unanswered(pair: Pair) -> None:
    slow = Echo(text='x', wait_s=5)
    reply = await pair.client.call(pair.address, slow, Echo, 0.05)
    assert isinstance(reply.failure(), frames.Unanswered)


async def test_half_open_stream_is_closed(pair: Pair) -> None:
    with mock.patch.object(connection, 'SILENCE_TIMEOUT_S', 0.1):
        # A listener that accepts and never reads simulates a peer cut off.
        silent, port = tornado_testing.bind_unused_port()
        address = f'127.0.0.1:{port}'
        for _ in range(2):
            reply = await pair.client.call(address, Echo(text='x'), Echo, 0.2)
            assert isinstance(reply.failure(), frames.Unanswered)
        silent.close()
        reply = await pair.client.call(address, Echo(text='x'), Echo, 0.2)
        assert isinstance(reply.failure(), frames.Unreachable)


async def test_unknown_message_type_is_refused(pair: Pair) -> None:
    unknown = frames.Refused(message='not served')
    reply = await pair.client.call(pair.address, unknown, Echo, 1)
    assert isinstance(reply.failure(), frames.Refused)


async def test_deeply_nested_frame_only_ends_its_stream(pair: Pair) -> None:
    host, _, port = pair.address.partition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    with mock.patch.object(
        asyncio.get_running_loop(), 'call_exception_handler'
    ) as unhandled:
        # The stream decoder refuses more levels than this.
        writer.write(b'%b\x90' % (b'\x91' * 1000))
        async with asyncio.timeout(5):
            assert not await reader.read()
        unhandled.assert_not_called()
    writer.close()
    reply = await pair.client.call(pair.address, Echo(text='x'), Echo, 1)
    assert reply.unwrap().text == 'x'


load_tests = functions.loader(__name__, {'pair': pair})
