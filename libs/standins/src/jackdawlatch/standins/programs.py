"""Runs stand-ins in this process until it gets a signal to stop."""

import asyncio
import signal
from collections.abc import Callable, Iterable
from typing import TextIO, TypeVar

from returns import result

from jackdawlatch.model import records
from jackdawlatch.node import launching
from jackdawlatch.settings import loading
from jackdawlatch.standins import (
    back_ends,
    hostlist,
    keyvalue_server,
    runner,
    serving,
    worker,
)

Settings = TypeVar('Settings', bound=records.Record)
Servers = Iterable[serving.Server]


def store_servers(settings: back_ends.Store) -> Servers:
    """Start the key-value service."""
    return (keyvalue_server.Server(settings.port),)


def host_list_servers(settings: hostlist.Settings) -> Servers:
    """Start the host list."""
    return (hostlist.Server(settings),)


def runner_servers(settings: back_ends.Runners) -> Servers:
    """Start the runners."""
    return tuple(runner.Server(one) for one in settings.runners)


def worker_servers(settings: back_ends.Workers) -> Servers:
    """Start the workers."""
    return tuple(worker.Server(one) for one in settings.workers)


def run(
    build: Callable[[Settings], Servers],
    settings_type: type[Settings],
    path: str,
    stderr: TextIO,
) -> launching.ExitStatus:
    """Serve with the settings of a file until SIGTERM or SIGINT.

    Returns ``USAGE`` if the settings can't be loaded.
    """
    loaded = loading.load(path, settings_type)
    if isinstance(loaded, result.Failure):
        stderr.write(f'jackdawlatch-standin: {loaded.failure().line()}\n')
        return launching.ExitStatus.USAGE
    asyncio.run(_serve(build, loaded.unwrap()))
    return launching.ExitStatus.OK


async def _serve(
    build: Callable[[Settings], Servers], settings: Settings
) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    servers = build(settings)
    await stopping.wait()
    for server in servers:
        await server.close()
