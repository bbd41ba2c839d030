"""The whole daemon against stand-ins of the platform, over HTTP."""

import asyncio
import contextlib
import json
import pathlib
import random
import sys
import types
from collections.abc import Mapping

from jackdawlatch.backends import exchange
from jackdawlatch.jobs import model
from jackdawlatch.scheduler import reports
from jackdawlatch.standins import ports, task_workers
from jackdawlatch.testing import functions, waiting
from jackdawlatch.unified import root
from jackdawlatch.unified import settings as unified_settings

ROOT = pathlib.Path(__file__).resolve().parents[3]
sys.path.insert(0, str(ROOT / 'platform' / 'tests'))
import platform_standins as standins  # noqa: E402 Its folder was just added.

JOB = '0123456789abcdef'
PATH = f'/photos/{JOB}'
BODY = types.MappingProxyType(
    {'spec': 'x', 'steps': [{'count': 2, 'cpu': 500, 'mem-mb': 10}]}
)


class Bench:
    """A daemon, its callers and its platform."""

    def __init__(
        self,
        store: standins.Store,
        worker: task_workers.FakeWorker,
        daemon: unified_settings.Unified,
    ) -> None:
        self.store = store
        self.worker = worker
        self._base = f'http://{daemon.front_address}'
        self._ready = f'http://{daemon.ready_address}/ready'
        self.metrics = f'http://127.0.0.1:{daemon.metrics_port}/metrics'
        self._client = exchange.Client(4)

    async def call(
        self,
        method: str,
        path: str = PATH,
        body: Mapping[str, object] | None = None,
    ) -> exchange.Reply:
        """Call as a requester does."""
        replied = await self._client.send(
            exchange.Outgoing(
                self._base + path,
                method=method,
                body=None if body is None else json.dumps(dict(body)).encode(),
                headers=(('Host', 'host.example'),),
            )
        )
        return replied.unwrap()

    async def get(self, url: str) -> exchange.Reply:
        """Read any address."""
        return (await self._client.send(exchange.Outgoing(url))).unwrap()

    async def state(self) -> str:
        """Return the job's state."""
        return json.loads((await self.call('GET')).body).get('state', '')

    async def until_ready(self) -> None:
        """Wait for the daemon's configuration."""

        async def ready() -> bool:
            return (await self.get(self._ready)).status == 200

        await waiting.until(ready)

    async def until_state(self, state: str) -> None:
        """Wait for the job's state."""

        async def reached() -> bool:
            return await self.state() == state

        await waiting.until(reached)


@contextlib.asynccontextmanager
async def bench():
    store = standins.Store()
    entry = reports.WorkerEntry('i-1', 1, '', 'photo', 'z', 'm-1', model.Room())
    worker = task_workers.FakeWorker(entry)
    with contextlib.ExitStack() as stack:
        address = stack.enter_context(
            standins.serving(standins.RunnerHandler, worker=worker)
        )
        store_address = stack.enter_context(
            standins.serving(standins.StoreHandler, store=store)
        )
        store.write('servers/i-1', standins.runner_entry(address))
        store.write('servers/i-2', b'\xff')
        free = ports.Ports(random.Random())
        stack.callback(free.close)
        settings = _settings(
            store_address, (free.take(), free.take(), free.take())
        )
        daemon = root.Root(settings)
        daemon.listen()
        running = asyncio.create_task(daemon.run())
        try:
            yield Bench(store, worker, settings)
        finally:
            daemon.close()
            await _cancel(running)


async def test_job_is_served_from_end_to_end(bench):
    bench.store.write('op/config', standins.manifest())
    await bench.until_ready()
    assert (await bench.call('POST', body=BODY)).status == 200
    await waiting.until(lambda: len(bench.worker.running) == 2)
    await bench.until_state('running')
    assert (await bench.call('POST', body=BODY)).status == 200
    for task in tuple(bench.worker.running):
        bench.worker.end(task, reports.EndKind.DONE)
    await bench.until_state('done')
    assert len(bench.worker.begun) == 2
    scraped = await bench.get(bench.metrics)
    assert b'store_calls' in scraped.body


async def test_callers_are_told_what_became_of_their_request(bench):
    unconfigured = await bench.call('POST', body=BODY)
    assert unconfigured.status == 503
    assert int(unconfigured.headers['Retry-After']) >= 1
    bench.store.write('op/config', standins.manifest())
    await bench.until_ready()
    assert (await bench.call('GET')).status == 410
    assert (await bench.call('DELETE')).status == 410
    assert (await bench.call('GET', '/other/')).status == 404
    assert (await bench.call('POST', '/photos/no-id', BODY)).status == 404
    assert (await bench.call('GET', '/photos/')).body == b'{"pending":0}'
    for malformed in ({}, {'steps': []}, {'steps': [{'count': -1}]}):
        assert (await bench.call('POST', body=malformed)).status == 400


async def test_store_that_refuses_means_not_accepted(bench):
    bench.store.write('op/config', standins.manifest())
    await bench.until_ready()
    bench.store.down = True
    refused = await bench.call('POST', body=BODY)
    bench.store.down = False
    assert refused.status == 503
    assert 'Retry-After' in refused.headers
    assert bench.store.content.get(f'work/jobs/{JOB}') is None


async def test_cancelled_job_is_stopped_and_shown(bench):
    bench.store.write('op/config', standins.manifest())
    await bench.until_ready()
    await bench.call('POST', body=BODY)
    await waiting.until(lambda: bench.worker.running)
    assert (await bench.call('DELETE')).status == 200
    await bench.until_state('cancelled')
    await waiting.until(lambda: not bench.worker.running)


async def test_dropped_queue_is_not_found(bench):
    bench.store.write('op/config', standins.manifest())
    await bench.until_ready()
    bench.store.write('op/config', {**standins.manifest(3), 'routes': []})

    async def dropped() -> bool:
        return (await bench.call('GET', '/photos/')).status == 404

    await waiting.until(dropped)
    bench.store.write('op/config', standins.manifest(2))
    await asyncio.sleep(0.2)
    assert (await bench.call('GET', '/photos/')).status == 404


async def _cancel(running: asyncio.Task[None]) -> None:
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)


def _settings(store: str, found: tuple[int, ...]) -> unified_settings.Unified:
    front, ready, metrics = found
    return unified_settings.Unified(
        name='u1',
        zone='z',
        front_address=f'127.0.0.1:{front}',
        ready_address=f'127.0.0.1:{ready}',
        metrics_port=metrics,
        store_address=store,
        machines_address='127.0.0.1:1',
        bounds=unified_settings.Bounds(
            lease_ms=10_000,
            stop_ms=200,
            drain_s=6,
            retention_s=120,
            maintenance_s=2,
            migration_s=1.5,
            notice_ms=4500,
        ),
    )


load_tests = functions.loader(__name__, {'bench': bench})
