"""Daemons as processes whose connections to the store go silent."""

import asyncio
import contextlib
import json
import pathlib
import random
import sys
import tempfile

import unified_bench

from jackdawlatch.standins import ports, processes
from jackdawlatch.testing import functions, waiting

ROOT = pathlib.Path(__file__).resolve().parents[3]
sys.path.insert(0, str(ROOT / 'platform' / 'tests'))
import platform_links  # noqa: E402 Its folder is added above.
import platform_standins as standins  # noqa: E402
import reborn_bed  # noqa: E402
import reborn_connections as connections  # noqa: E402

DAEMONS = 3
# Callers that ask each daemon at the same time, each on its own connection.
CALLERS = 12
# The documented times: until hosts are in touch after a silence, and until a
# configuration is in force after its acknowledgement.
CONTACT_S = 3.0
APPLY_S = 2.0
# How long the store takes for an answer.
ANSWER_S = 0.004
GONE = 410
JOB_PATH = '/photos/0123456789abcdef'


class Bench:
    """Daemons that reach one store over a link."""

    def __init__(
        self,
        store: standins.Store,
        link: platform_links.Link,
        daemons: tuple[reborn_bed.Daemon, ...],
    ) -> None:
        self.store = store
        self.link = link
        self.daemons = daemons

    async def start(self) -> None:
        """Start the daemons; wait until each has a configuration."""
        self.store.write('op/config', standins.manifest())
        for daemon in self.daemons:
            daemon.start()
        async with asyncio.timeout(reborn_bed.START_TIMEOUT_S):
            for daemon in self.daemons:
                while not await self.knows_queue(daemon):  # noqa: ASYNC110
                    await asyncio.sleep(reborn_bed.RETRY_S)
        await waiting.until(lambda: self.store.content.get('fleet/leader'))

    async def status(self, daemon: reborn_bed.Daemon, path: str) -> int:
        """Return the status of a request on a new connection, 0 without one."""
        try:
            async with connections.Connection(daemon.front) as connection:
                return (await connection.call('GET', path))[0]
        except (OSError, EOFError, TimeoutError):
            return 0

    async def knows_queue(self, daemon: reborn_bed.Daemon) -> bool:
        """Whether a daemon answers that a job in its queue does not exist."""
        return await self.status(daemon, JOB_PATH) == GONE

    async def ask_all(self) -> None:
        """Let callers ask all daemons at once, often."""
        async with asyncio.TaskGroup() as callers:
            for daemon in self.daemons * CALLERS:
                callers.create_task(self._ask(daemon))

    def add_queue(self) -> None:
        """Add a queue below ``/added/`` to the configuration."""
        configured = standins.manifest(2)
        photos = configured['routes'][0]
        added = {**photos, 'name': 'added', 'prefix': '/added/'}
        self.store.write('op/config', {**configured, 'routes': [photos, added]})

    async def _ask(self, daemon: reborn_bed.Daemon) -> None:
        async with connections.Connection(daemon.front) as connection:
            for _ in range(4):
                status, _ = await connection.call('GET', JOB_PATH)
                assert status == connections.OK


async def test_configuration_is_late_after_silence(bench):
    """Guards against hosts that do not lead and refuse a new queue for long."""
    async with connections.Connection(bench.daemons[0].front) as connection:
        accepted, _ = await connection.call(
            'POST', JOB_PATH, dict(unified_bench.BODY)
        )
    assert accepted == connections.OK
    await bench.ask_all()
    # One idle connection for each request that was under way.
    assert bench.link.count > DAEMONS * CALLERS / 2, bench.link.count
    bench.link.silence()
    await asyncio.sleep(CONTACT_S)
    bench.add_queue()
    await asyncio.sleep(APPLY_S)
    statuses = {
        daemon.name: (
            await bench.status(daemon, '/added/'),
            await bench.status(daemon, JOB_PATH),
        )
        for daemon in bench.daemons
    }
    expected = {(connections.OK, connections.OK)}
    assert set(statuses.values()) == expected, json.dumps(statuses)


@contextlib.asynccontextmanager
async def new_bench():
    store = standins.Store()
    with contextlib.ExitStack() as stack:
        store_address = stack.enter_context(
            standins.serving(standins.StoreHandler, store=store)
        )
        free_ports = ports.Ports(random.Random())
        stack.callback(free_ports.close)
        directory = stack.enter_context(tempfile.TemporaryDirectory())
        started = stack.enter_context(
            processes.Processes(pathlib.Path(directory))
        )
        async with platform_links.linked(store_address, ANSWER_S) as link:
            daemons = tuple(
                reborn_bed.Daemon(f'edge-{number}', started, free_ports)
                for number in range(DAEMONS)
            )
            for daemon in daemons:
                daemon.write_settings(link.address, '127.0.0.1:1')
            bench = Bench(store, link, daemons)
            await bench.start()
            yield bench
            started.close()


load_tests = functions.loader(__name__, {'bench': new_bench})
