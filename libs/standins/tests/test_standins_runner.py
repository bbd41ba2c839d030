import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator

import msgspec
from returns import result

from jackdawlatch.backends import exchange
from jackdawlatch.standins import executions, runner, runner_state, waiting
from jackdawlatch.testing import functions


class Bench:
    def __init__(self) -> None:
        self.server = runner.Server(
            runner_state.Settings(host='h1', slots=2, connections=4)
        )
        self.client = exchange.Client()

    async def call(
        self, path: str, method: str = 'POST', **options: bool
    ) -> result.Result[exchange.Reply, exchange.Failed]:
        body = b'{}' if method == 'POST' else None
        return await self.client.send(
            exchange.Outgoing(
                self.server.url + path,
                method=method,
                body=body,
                headers=(('X-Request-Id', path), ('Idempotency-Key', 'k')),
                **options,
            )
        )

    async def has_run(self) -> bool:
        return bool(self.runs())

    async def is_down(self) -> bool:
        return isinstance(await self.call('/-/state'), result.Failure)

    async def runs_again(self) -> bool:
        answered = await self.call('/x')
        is_ok = answered.map(lambda reply: reply.status == 200)
        return is_ok.value_or(False)

    def runs(self) -> list[str]:
        return [one.path for one in self.server.runner.executions.since(0)]


@contextlib.asynccontextmanager
async def bench() -> AsyncIterator[Bench]:
    opened = Bench()
    yield opened
    opened.client.close()
    await opened.server.close()


async def test_answer_names_its_own_request(bench: Bench) -> None:
    paths = ('/slow?ms=50', '/quick')
    answers = await asyncio.gather(*(bench.call(path) for path in paths))
    receipts = [
        answer.unwrap().json(runner.Receipt).unwrap() for answer in answers
    ]
    assert [receipt.path for receipt in receipts] == list(paths)
    assert [receipt.id for receipt in receipts] == list(paths)
    listed = (await bench.call('/-/executions', 'GET')).unwrap()
    written = listed.json(list[executions.Execution]).unwrap()
    assert sorted(one.path for one in written) == sorted(paths)
    assert all(one.end_s >= one.start_s for one in written)


async def test_full_runner_refuses_requests(bench: Bench) -> None:
    await asyncio.gather(*(bench.call('/x?ms=100') for _ in range(3)))
    assert bench.runs() == ['/x?ms=100', '/x?ms=100']


async def test_leaving_runner_finishes_and_refuses_new_work(
    bench: Bench,
) -> None:
    busy = asyncio.create_task(bench.call('/x?ms=100'))
    assert await waiting.until(bench.has_run, 5)
    await bench.call('/-/drain')
    leaving = (await bench.call('/y')).unwrap()
    assert (leaving.status, leaving.headers['X-Not-Run']) == (503, 'leaving')
    assert (await busy).unwrap().status == 200
    assert bench.runs() == ['/x?ms=100']


async def test_resumed_runner_runs_again(bench: Bench) -> None:
    await bench.call('/-/drain')
    await bench.call('/-/resume')
    assert await bench.runs_again()


async def test_each_fault_runs_and_breaks_the_answer(bench: Bench) -> None:
    for fault in ('close', 'half'):
        lost = await bench.call(f'/x?fault={fault}')
        assert isinstance(lost.failure(), exchange.Unanswered), fault
    assert (await bench.call('/x?fault=fail')).unwrap().status == 500
    slow = (await bench.call('/x?fault=slow-body&ms=10')).unwrap()
    assert msgspec.json.decode(slow.body)['path'] in bench.runs()
    assert len(bench.runs()) == 4


async def test_libcurl_resends_on_closed_reused_connection(
    bench: Bench,
) -> None:
    path = '/x?fault=close-reused'
    assert (await bench.call(path, resend=True)).unwrap().status == 200
    assert (await bench.call(path, resend=True)).unwrap().status == 200
    assert len(bench.runs()) == 3
    lost = await bench.call(path)
    assert isinstance(lost.failure(), exchange.Unanswered)
    assert len(bench.runs()) == 4


async def test_connections_over_the_limit_are_closed(bench: Bench) -> None:
    address = ('127.0.0.1', bench.server.port)
    with contextlib.ExitStack() as stack:
        for _ in range(4):
            stack.enter_context(socket.create_connection(address))
        await asyncio.sleep(0.05)
        failed = await bench.call('/x')
        assert isinstance(failed, result.Failure)
    assert not bench.runs()


async def test_reboot_ends_the_drain_of_a_runner(bench: Bench) -> None:
    await bench.call('/-/drain')
    assert (await bench.call('/-/reboot')).unwrap().status == 202
    assert await waiting.until(bench.is_down, 5)
    assert await waiting.until(bench.runs_again, 5)


load_tests = functions.loader(__name__, {'bench': bench})
