"""A daemon as a process, with the memory and descriptors that it uses."""

import contextlib
import pathlib
import random
import signal
import tempfile
from collections.abc import Mapping

import crowd_clients
import crowd_daemon
import msgspec
import unified_bench

from jackdawlatch.jobs import model
from jackdawlatch.model import records
from jackdawlatch.scheduler import reports
from jackdawlatch.standins import ports, processes, task_workers
from jackdawlatch.testing import waiting
from jackdawlatch.unified import settings as unified_settings

# The daemon alone uses about 48 MB.
MEMORY_MB = 100
DESCRIPTORS = 4100
LIMITS = unified_settings.Limits(
    reserve_mb=75,
    reserved_descriptors=100,
    max_body_bytes=crowd_clients.BODY_BYTES,
    header_timeout_s=3,
    idle_timeout_s=15,
)


@contextlib.asynccontextmanager
async def daemon():
    """Yield a ready daemon with the memory of a small host."""
    async with _running({}) as created:
        yield created


@contextlib.asynccontextmanager
async def daemon_with_few_descriptors():
    """Yield a ready daemon that has room for 80 connections of clients."""
    async with _running({'descriptors': 180}) as created:
        yield created


@contextlib.asynccontextmanager
async def _running(host: Mapping[str, int]):
    store = unified_bench.standins.Store()
    entry = reports.WorkerEntry('i-1', 1, '', 'photo', 'z', 'm-1', model.Room())
    worker = task_workers.FakeWorker(entry)
    with contextlib.ExitStack() as stack:
        address = stack.enter_context(
            unified_bench.standins.serving(
                unified_bench.standins.RunnerHandler, worker=worker
            )
        )
        store_address = stack.enter_context(
            unified_bench.standins.serving(
                unified_bench.standins.StoreHandler, store=store
            )
        )
        store.write('servers/i-1', unified_bench.standins.runner_entry(address))
        store.write('op/config', unified_bench.standins.manifest())
        free_ports = ports.Ports(random.Random())
        stack.callback(free_ports.close)
        settings = _settings(store_address, free_ports, host)
        folder = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )
        path = folder / 'settings.json'
        path.write_bytes(msgspec.json.encode(settings))
        started = stack.enter_context(processes.Processes(folder))
        process = started.start(
            'u1', ('jackdawlatch.unified',), JACKDAWLATCH_SETTINGS=str(path)
        )
        created = crowd_daemon.Daemon(process, settings)
        await waiting.until(created.is_ready)
        yield created
        process.signal(signal.SIGKILL)


def _settings(
    store_address: str, free_ports: ports.Ports, host: Mapping[str, int]
) -> unified_settings.Unified:
    settings = unified_bench.new_settings(
        store_address,
        (free_ports.take(), free_ports.take(), free_ports.take()),
    )
    return records.replace(
        settings,
        host=records.replace(
            settings.host,
            **{'memory_mb': MEMORY_MB, 'descriptors': DESCRIPTORS, **host},
        ),
        limits=LIMITS,
    )
