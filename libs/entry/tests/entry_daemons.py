"""Entries, runners and a store, each as a separate process."""

import asyncio
import contextlib
import dataclasses
import pathlib
import random
import signal
import tempfile
from collections.abc import AsyncIterator

import msgspec
from tornado import httpclient

from jackdawlatch.model import hosts, records
from jackdawlatch.node import documents
from jackdawlatch.standins import (
    deployments,
    driver,
    executions,
    ports,
    processes,
    profiles,
)
from jackdawlatch.store import keyvalue, remote

ENTRIES = 3
POOL = 'dispatch'


@dataclasses.dataclass
class Daemons:
    """Controls the processes of a test.

    ``errors`` collects the requests that got no response.
    """

    driver: driver.Driver
    client: httpclient.AsyncHTTPClient
    entries: list[str]
    errors: list[str] = dataclasses.field(default_factory=list)

    async def post(
        self, entry: str, key: str, query: str = '', timeout_s: float = 10
    ) -> httpclient.HTTPResponse | None:
        """Send a keyed POST; return None if no response arrived."""
        url = f'{self.url(entry, POOL)}{query}'
        headers = {'Idempotency-Key': key, 'Request-Timeout': str(timeout_s)}
        try:
            return await self.client.fetch(
                url,
                method='POST',
                body=b'x',
                headers=headers,
                raise_error=False,
                request_timeout=timeout_s + 5,
            )
        except (OSError, httpclient.HTTPError) as error:
            self.errors.append(f'{entry}: {error!r}')
        return None

    def url(self, entry: str, service: str) -> str:
        """Return the URL of a path of a service, through an entry."""
        settings = self.driver.deployment.entries_by_name[entry]
        return f'http://{settings.http_address}/services/{service}/x'

    async def run_counts_by_key(self) -> dict[str, int]:
        """Return how often the runners ran each key."""
        counts: dict[str, int] = {}
        for settings in self.driver.deployment.runners.runners:
            url = f'http://127.0.0.1:{settings.port}/-/executions'
            answer = await self.client.fetch(url)
            for execution in msgspec.json.decode(
                answer.body, type=list[executions.Execution]
            ):
                counts[execution.key] = counts.get(execution.key, 0) + 1
        return counts

    async def replace(self, entry: str) -> None:
        """Kill an entry and start it again, without its state in memory."""
        self.driver.kill(entry)
        (await self.driver.start((entry,))).unwrap()

    async def pause(self, entry: str, seconds: float) -> None:
        """Suspend an entry's process for some seconds."""
        self.driver.pause(entry)
        await asyncio.sleep(seconds)
        self.driver.resume(entry)

    async def stop(self, entry: str) -> int | None:
        """Stop an entry with SIGTERM; return its exit status."""
        process = self.driver.processes[entry]
        process.signal(signal.SIGTERM)
        await asyncio.to_thread(process.wait, 15)
        return process.exit_status


@contextlib.asynccontextmanager
async def daemons() -> AsyncIterator[Daemons]:
    deployment = deployments.build(
        profiles.BROLLY_ADFER, ports.Ports(random.Random())
    )
    with tempfile.TemporaryDirectory() as directory:
        with processes.Processes(pathlib.Path(directory)) as started_processes:
            cluster = Daemons(
                driver=driver.Driver(deployment, started_processes),
                client=httpclient.AsyncHTTPClient(
                    force_instance=True, max_clients=200
                ),
                entries=list(deployment.entries_by_name)[:ENTRIES],
            )
            (await cluster.driver.start(('store', 'runners'))).unwrap()
            await _store_documents(deployment)
            (await cluster.driver.start(cluster.entries)).unwrap()
            yield cluster
            cluster.client.close()
            cluster.driver.close()


async def _store_documents(deployment: deployments.Deployment) -> None:
    store = remote.RemoteStore((f'http://127.0.0.1:{deployment.store.port}',))
    configuration = records.replace(
        profiles.configuration(deployment.profile), version=1
    )
    members = [host for rack in deployment.racks for host in rack.members]
    pools = deployment.profile.pools
    membership = hosts.Membership(
        version=1,
        hosts_by_id={host.id: host for host in members},
        assignments_by_host={
            host.id: hosts.Assignment(
                pool=pools[number % len(pools)], phase=hosts.Phase.ACTIVE
            )
            for number, host in enumerate(members)
        },
    )
    for key, record in (
        (documents.CONFIG_KEY, configuration),
        (f'{documents.MEMBERSHIP_PREFIX}main', membership),
    ):
        content = records.encode(record)
        (await store.put(key, content, keyvalue.ABSENT)).unwrap()
    store.close()
