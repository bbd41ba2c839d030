"""Runs a daemon against fakes of the platform, and calls it over HTTP."""

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
from jackdawlatch.testing import waiting
from jackdawlatch.unified import root
from jackdawlatch.unified import settings as unified_settings

ROOT = pathlib.Path(__file__).resolve().parents[3]
sys.path.insert(0, str(ROOT / 'platform' / 'tests'))
import platform_standins as standins  # noqa: E402 Its folder is added above.

OK = 200
JOB = '0123456789abcdef'
PATH = f'/photos/{JOB}'
BODY = types.MappingProxyType(
    {'spec': 'x', 'steps': [{'count': 2, 'cpu': 500, 'mem-mb': 10}]}
)


class Bench:
    """A running daemon, its fake platform and an HTTP client."""

    def __init__(
        self,
        store: standins.Store,
        worker: task_workers.FakeWorker,
        settings: unified_settings.Unified,
        running: asyncio.Task[None],
    ) -> None:
        self.running = running
        self.store = store
        self.worker = worker
        self._base = f'http://{settings.front_address}'
        self._ready = f'http://{settings.ready_address}/ready'
        self.metrics = f'http://127.0.0.1:{settings.metrics_port}/metrics'
        self._client = exchange.Client(4)

    async def call(
        self,
        method: str,
        path: str = PATH,
        body: Mapping[str, object] | None = None,
        headers: tuple[tuple[str, str], ...] = (),
    ) -> exchange.Reply:
        """Send a request as a caller does."""
        content = None if body is None else json.dumps(dict(body)).encode()
        return await self.send(method, path, content, headers)

    async def send(
        self,
        method: str,
        path: str = PATH,
        content: bytes | None = None,
        headers: tuple[tuple[str, str], ...] = (),
    ) -> exchange.Reply:
        """Send a request with any body."""
        replied = await self._client.send(
            exchange.Outgoing(
                self._base + path,
                method=method,
                body=content,
                headers=(('Host', 'host.example'), *headers),
            )
        )
        return replied.unwrap()

    async def get(self, url: str) -> exchange.Reply:
        """Get a URL."""
        return (await self._client.send(exchange.Outgoing(url))).unwrap()

    async def state(self) -> str:
        """Return the job's state."""
        return json.loads((await self.call('GET')).body).get('state', '')

    async def ready(self) -> bool:
        """Return whether the daemon answers that it is ready."""
        return (await self.get(self._ready)).status == OK

    async def until_ready(self) -> None:
        """Wait until the daemon is ready, which needs a configuration."""
        await waiting.until(self.ready)

    async def until_state(self, state: str) -> None:
        """Wait until the job is in ``state``."""

        async def reached() -> bool:
            return await self.state() == state

        await waiting.until(reached)


ODD_ENTRIES = types.MappingProxyType(
    {
        'servers/i-deep': b'{"x":%b' % (b'[' * 100_000),
        'servers/i-large': standins.runner_entry('127.0.0.1:1', born=10**30),
        'servers/i-port': standins.runner_entry('127.0.0.1:99999', born=9),
        'servers/i-no-port': standins.runner_entry('[::1', born=9),
        'servers/i-nul': standins.runner_entry('127.0.0.1\x00:1', born=9),
    }
)


@contextlib.asynccontextmanager
async def bench():
    """Yield a new deployment."""
    async with _deployment({'servers/i-2': b'\xff'}) as created:
        yield created


@contextlib.asynccontextmanager
async def odd_bench():
    """Yield a new deployment with entries of other writers."""
    async with _deployment(ODD_ENTRIES) as created:
        yield created


@contextlib.asynccontextmanager
async def _deployment(entries: Mapping[str, object]):
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
        for key, entry_body in entries.items():
            store.write(key, entry_body)
        free_ports = ports.Ports(random.Random())
        stack.callback(free_ports.close)
        settings = new_settings(
            store_address,
            (free_ports.take(), free_ports.take(), free_ports.take()),
        )
        daemon = root.Root(settings)
        daemon.listen()
        running = asyncio.create_task(daemon.run())
        try:
            yield Bench(store, worker, settings, running)
        finally:
            daemon.close()
            await _cancel(running)


async def _cancel(running: asyncio.Task[None]) -> None:
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)


def new_settings(
    store: str, http_ports: tuple[int, ...]
) -> unified_settings.Unified:
    front, ready, metrics = http_ports
    return unified_settings.Unified(
        name='u1',
        zone='z',
        front_address=f'127.0.0.1:{front}',
        ready_address=f'127.0.0.1:{ready}',
        metrics_port=metrics,
        store_address=store,
        machines_address='127.0.0.1:1',
        host=unified_settings.Host(
            processors=2, processor_share=0.5, link_mbps=1000
        ),
        bounds=unified_settings.Bounds(
            lease_ms=10_000,
            stop_ms=200,
            report_ms=1500,
            drain_s=6,
            retention_s=120,
            maintenance_s=2,
            migration_s=1.5,
            moves_per_s=64,
        ),
    )
