import asyncio
import contextlib
import time
from collections.abc import AsyncIterator

from jackdawlatch.backends import http_runners, runners
from jackdawlatch.model import clocks, work
from jackdawlatch.testing import functions

OK = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
HALF = b'HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf'
HALF_CHUNK = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nha'
UNFRAMED = b'HTTP/1.1 200 OK\r\n\r\nwhole?'
NO_ANSWER = b''


class Target:
    """A server that records requests and sends scripted answers."""

    def __init__(self) -> None:
        self.script = [OK]
        self.received: list[bytes] = []
        self.delay_s: float = 0
        self.reached = asyncio.Event()
        self.closed = asyncio.Event()
        self.runners = http_runners.HttpRunners(clocks.SystemClock())

    async def exchange(
        self, method: str = 'POST', timeout_s: float = 2, **headers: str
    ) -> runners.ExchangeResult:
        request = work.Request(
            id='r1',
            kind=work.Kind(service='desk'),
            method=method,
            path='/a/../b?c=d',
            headers=tuple(headers.items()),
            body=b'body' if method == 'POST' else b'',
            deadline_s=time.time() + 5,
            idempotent=method == 'GET',
        )
        return await self.runners.exchange(self.address, request, timeout_s)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(
            asyncio.IncompleteReadError, asyncio.CancelledError, OSError
        ):
            await self._serve(reader, writer)
        self.closed.set()
        writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            head = await reader.readuntil(b'\r\n\r\n')
            body = await reader.readexactly(4) if b'POST' in head else b''
            self.received.append(head + body)
            self.reached.set()
            answer = self.script.pop(0) if len(self.script) > 1 else OK
            if self.delay_s:
                await reader.read()
                return
            writer.write(answer)
            await writer.drain()
            if answer in {NO_ANSWER, HALF, HALF_CHUNK, UNFRAMED}:
                return


@contextlib.asynccontextmanager
async def target() -> AsyncIterator[Target]:
    created = Target()
    server = await asyncio.start_server(created.serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    created.address = f'http://127.0.0.1:{port}'
    yield created
    created.runners.close()
    server.close()


async def test_request_without_answer_is_not_resent(
    target: Target,
) -> None:
    target.script = [OK, NO_ANSWER, OK]
    first = await target.exchange()
    second = await target.exchange()
    assert first.unwrap().body == b'ok'
    assert isinstance(second.failure(), runners.NoWholeAnswer)
    assert len(target.received) == 2


async def test_post_never_reuses_the_connection_of_a_get(
    target: Target,
) -> None:
    target.script = [OK, NO_ANSWER, OK]
    await target.exchange('GET')
    second = await target.exchange('POST')
    assert isinstance(second.failure(), runners.NoWholeAnswer)
    assert [request[:4] for request in target.received] == [b'GET ', b'POST']


async def test_truncated_answer_is_an_unknown_outcome(
    target: Target,
) -> None:
    for truncated in (HALF, HALF_CHUNK, UNFRAMED):
        target.script = [truncated, OK]
        answered = await target.exchange()
        assert isinstance(answered.failure(), runners.NoWholeAnswer), truncated


async def test_redirect_expect_and_auth_do_not_resend(
    target: Target,
) -> None:
    for status in (b'307', b'417', b'401'):
        target.received.clear()
        target.script = [
            b'HTTP/1.1 %s x\r\nContent-Length: 0\r\nLocation: /elsewhere\r\n'
            b'WWW-Authenticate: Basic realm="x"\r\n\r\n' % status,
            OK,
        ]
        answered = await target.exchange(Expect='100-continue')
        assert answered.unwrap().status == int(status)
        assert len(target.received) == 1


async def test_late_answer_closes_the_connection(target: Target) -> None:
    target.delay_s = 1
    answered = await target.exchange(timeout_s=0.05)
    assert isinstance(answered.failure(), runners.LateAnswer)
    await asyncio.wait_for(target.closed.wait(), 2)


async def test_cancelled_exchange_closes_the_connection(
    target: Target,
) -> None:
    target.delay_s = 1
    exchange = asyncio.create_task(target.exchange('GET'))
    await target.reached.wait()
    exchange.cancel()
    await asyncio.wait_for(target.closed.wait(), 2)
    target.delay_s = 0
    assert (await target.exchange('GET')).unwrap().body == b'ok'


async def test_refused_connection_was_not_run(target: Target) -> None:
    target.address = 'http://127.0.0.1:1'
    answered = await target.exchange()
    assert isinstance(answered.failure(), runners.Unreachable)


async def test_nothing_is_sent_after_the_deadline(target: Target) -> None:
    late = work.Request(
        id='r1',
        kind=work.Kind(service='desk'),
        method='POST',
        path='/',
        deadline_s=time.time() - 1,
        idempotent=False,
    )
    answered = await target.runners.exchange(target.address, late, 1)
    assert isinstance(answered.failure(), runners.TooLate)
    assert not target.received


async def test_documented_refusals_were_not_run(target: Target) -> None:
    for reason, expected in (
        (b'busy', runners.Busy),
        (b'leaving', runners.Leaving),
    ):
        target.script = [
            b'HTTP/1.1 503 x\r\nContent-Length: 0\r\nX-Not-Run: %s\r\n\r\n'
            % reason,
            OK,
        ]
        answered = await target.exchange()
        assert isinstance(answered.failure(), expected)


async def test_only_end_to_end_headers_are_forwarded(target: Target) -> None:
    target.script = [
        b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: x\r\n'
        b'Set-Cookie: a\r\nSet-Cookie: b\r\n\r\n',
        OK,
    ]
    answered = await target.exchange(
        Connection='Secret', Secret='1', Accept='text/plain'
    )
    head = target.received[0].decode()
    assert head.startswith('POST /a/../b?c=d HTTP/1.1')
    assert 'Secret' not in head
    assert 'Content-Type' not in head
    assert 'Accept: text/plain' in head
    names = [name for name, _ in answered.unwrap().headers]
    assert names == ['Content-Length', 'Set-Cookie', 'Set-Cookie']


load_tests = functions.loader(__name__, {'target': target})
