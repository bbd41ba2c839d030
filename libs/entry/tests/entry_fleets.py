"""Entries and runners in one process, over a fake store."""

import asyncio
import contextlib
import json
import time
from collections.abc import AsyncIterator, Callable
from typing import Any

from tornado import httpclient
from tornado import testing as tornado_testing

from jackdawlatch.entry import root, settings
from jackdawlatch.model import hosts, presets, records, work
from jackdawlatch.node import documents
from jackdawlatch.standins import fakes, runner, runner_state
from jackdawlatch.store import keyvalue

MAX_POLLS = 500
POLL_INTERVAL_S = 0.02


class Fleet:
    """Two runners of the service ``desk``, and entries that a test starts."""

    def __init__(self) -> None:
        self.store = fakes.FakeStore()
        self.entries: list[root.Root] = []
        self.client = httpclient.AsyncHTTPClient(
            force_instance=True, max_clients=200
        )
        self.runners_by_host = {
            host: runner.Server(runner_state.Settings(host=host))
            for host in ('h1', 'h2')
        }

    async def store_documents(self) -> None:
        configuration = presets.Configuration(
            version=1,
            in_force='ordinary',
            presets_by_name={'ordinary': presets.Preset(name='ordinary')},
            pools_by_name={'desks': presets.Pool(name='desks')},
            services_by_name={
                'desk': presets.Service(name='desk', pool='desks')
            },
        )
        await self.put(documents.CONFIG_KEY, configuration)
        membership = hosts.Membership(
            version=1,
            assignments_by_host={
                host: hosts.Assignment(pool='desks', phase=hosts.Phase.ACTIVE)
                for host in self.runners_by_host
            },
            hosts_by_id={
                host: hosts.Host(
                    id=host,
                    zone='z1',
                    rack='r1',
                    runner=server.url,
                    capacity=hosts.Capacity(processors=64, memory_mb=1000),
                )
                for host, server in self.runners_by_host.items()
            },
        )
        await self.put(f'{documents.MEMBERSHIP_PREFIX}main', membership)

    async def put(self, key: str, record: records.Record) -> None:
        current = self.store.content.get(key)
        revision = current.revision if current else keyvalue.ABSENT
        await self.store.put(key, records.encode(record), revision)

    async def start(self, **options: int) -> root.Root:
        addresses = [_free_address() for _ in range(3)]
        entry = root.Root(
            settings.Entry(
                id=f'e{len(self.entries)}',
                zone='z1',
                peer_address=addresses[0],
                operations_address=addresses[1],
                http_address=addresses[2],
                store_addresses=('http://127.0.0.1:1',),
                lease_ttl_s=1,
                intent_buckets=4,
                drain_delay_s=0.1,
                strict_invariants=True,
                **options,
            ),
            self.store,
        )
        (await entry.start()).unwrap()
        self.entries.append(entry)
        await wait_until(
            lambda: all(self._is_synchronized(each) for each in self.entries)
        )
        return entry

    async def send(
        self,
        entry: root.Root,
        path: str = '/services/desk/x',
        method: str = 'GET',
        body: bytes | None = None,
        **headers: str,
    ) -> httpclient.HTTPResponse:
        """Send a request; underscores in header names stand for hyphens."""
        return await self.client.fetch(
            f'http://{entry.settings.http_address}{path}',
            method=method,
            body=body,
            headers={
                name.replace('_', '-'): text for name, text in headers.items()
            },
            raise_error=False,
            request_timeout=20,
            allow_nonstandard_methods=True,
        )

    async def post(
        self,
        entry: root.Root,
        key: str,
        query: str = '',
        body: bytes = b'x',
        timeout_s: float = 10,
    ) -> httpclient.HTTPResponse:
        return await self.send(
            entry,
            f'/services/desk/x{query}',
            'POST',
            body,
            Idempotency_Key=key,
            Request_Timeout=str(timeout_s),
        )

    def run_count(self, key: str) -> int:
        """Return how often the runners ran a key."""
        return sum(
            execution.key == key
            for server in self.runners_by_host.values()
            for execution in server.runner.executions.since(0)
        )

    async def disconnect_once_running(
        self, entry: root.Root, method: str, key: str, query: str
    ) -> None:
        """Send a request and disconnect once a runner works on it."""
        host, _, port = entry.settings.http_address.rpartition(':')
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            f'{method} /services/desk/x{query} HTTP/1.1\r\nHost: x\r\n'
            f'Idempotency-Key: {key}\r\nContent-Length: 0\r\n\r\n'.encode()
        )
        await wait_until(lambda: self.run_count(key) == 1)
        writer.close()

    def broker_id(self, service: str) -> str:
        """Return the id of the entry that serves the broker of a service."""
        broker_gateway = self.entries[0].sending.gateway
        return str(broker_gateway.owner(service).id)

    def is_running(self, key: str) -> bool:
        """Return whether a runner works on a key."""
        return any(
            execution.key == key and not execution.end_s
            for server in self.runners_by_host.values()
            for execution in server.runner.executions.since(0)
        )

    def _is_synchronized(self, entry: root.Root) -> bool:
        seen = len(entry.dependencies.roster.by_role('entry'))
        # It has read the buckets that it owns.
        return (
            seen == len(self.entries)
            and not entry.keyed.ownership.update_owned()
        )


def request(key: str) -> work.Request:
    return work.Request(
        id='r1',
        kind=work.Kind(service='desk'),
        method='POST',
        path='/x',
        deadline_s=time.time() + 5,
        key=key,
        idempotent=False,
    )


def outcome(answer: httpclient.HTTPResponse) -> str:
    return str(answer.headers.get('Jackdawlatch-Outcome'))


def code(answer: httpclient.HTTPResponse) -> Any:
    return json.loads(answer.body)['code']


async def wait_until(condition: Callable[[], bool]) -> None:
    for _ in range(MAX_POLLS):
        if condition():
            return
        await asyncio.sleep(POLL_INTERVAL_S)
    raise AssertionError(f'condition not met in time ({time.monotonic()})')


@contextlib.asynccontextmanager
async def fleet() -> AsyncIterator[Fleet]:
    new_fleet = Fleet()
    await new_fleet.store_documents()
    yield new_fleet
    new_fleet.client.close()
    for started in new_fleet.entries:
        started.node.stopping.set()
    await asyncio.gather(*[each.run() for each in new_fleet.entries])
    for server in new_fleet.runners_by_host.values():
        await server.close()


def _free_address() -> str:
    socket, port = tornado_testing.bind_unused_port()
    socket.close()
    return f'127.0.0.1:{port}'
