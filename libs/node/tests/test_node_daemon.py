import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

from tornado import httpclient
from tornado import testing as tornado_testing

from jackdawlatch.model import presets, records
from jackdawlatch.node import daemon, documents
from jackdawlatch.settings import daemons
from jackdawlatch.standins import fakes
from jackdawlatch.store import keyvalue
from jackdawlatch.testing import functions

MAX_POLLS = 400
POLL_S = 0.02


def _free_address() -> str:
    socket, port = tornado_testing.bind_unused_port()
    socket.close()
    return f'127.0.0.1:{port}'


class Fleet:
    """Nodes in one process that share a fake store."""

    def __init__(self) -> None:
        self.store = fakes.FakeStore()
        self.nodes: list[daemon.Node] = []
        self._seed = _free_address()

    async def start(self) -> daemon.Node:
        node = daemon.Node(
            daemons.Daemon(
                id=f'e{len(self.nodes)}',
                zone='z1',
                peer_address=_free_address() if self.nodes else self._seed,
                operations_address=_free_address(),
                store_addresses=('http://127.0.0.1:1',),
                seed_addresses=(self._seed,),
                lease_ttl_s=0.6,
                strict_invariants=True,
            ),
            'entry',
            self.store,
        )
        self.nodes.append(node)
        (await node.start()).unwrap()
        return node

    async def accept(self, version: int) -> keyvalue.Entry:
        configuration = presets.Configuration(version=version)
        current = self.store.content.get(documents.CONFIG_KEY)
        written = await self.store.put(
            documents.CONFIG_KEY,
            records.encode(configuration),
            current.revision if current else keyvalue.ABSENT,
        )
        return written.unwrap()


@contextlib.asynccontextmanager
async def fleet() -> AsyncIterator[Fleet]:
    created = Fleet()
    await created.accept(1)
    try:
        yield created
    finally:
        for node in created.nodes:
            node.stopping.set()
            await node.run(_drain)


async def _drain() -> None:
    """Return at once: no request is in flight."""


async def _until(holds: Callable[[], bool]) -> None:
    for _ in range(MAX_POLLS):
        if holds():
            return
        await asyncio.sleep(POLL_S)
    raise AssertionError(
        f'condition not met after {MAX_POLLS} polls, {POLL_S} s apart'
    )


async def test_document_reaches_all_peers_in_a_store_outage(
    fleet: Fleet,
) -> None:
    first, second, third = [await fleet.start() for _ in range(3)]
    fleet.store.down = True
    await _until(lambda: not third.store_reachable)
    first.dependencies.documents.apply(
        documents.Document(
            key=documents.CONFIG_KEY,
            revision=1000,
            content=records.encode(presets.Configuration(version=2)),
        )
    )
    await _until(
        lambda: third.dependencies.documents.configuration.version == 2
    )
    await _until(
        lambda: second.dependencies.documents.configuration.version == 2
    )


async def test_process_started_in_an_outage_gets_documents(
    fleet: Fleet,
) -> None:
    first = await fleet.start()
    fleet.store.down = True
    late = await fleet.start()
    assert late.dependencies.documents.configuration.version == 1
    await _until(lambda: len(first.dependencies.roster.by_role('entry')) == 2)


async def test_stale_document_is_not_applied(fleet: Fleet) -> None:
    node = await fleet.start()
    entry = await fleet.accept(2)
    await _until(lambda: node.dependencies.documents.configuration.version == 2)
    old = documents.Document(
        key=entry.key,
        revision=entry.revision - 1,
        content=records.encode(presets.Configuration(version=1)),
    )
    assert not node.dependencies.documents.apply(old)
    assert node.dependencies.documents.configuration.version == 2


async def test_too_large_document_is_not_read(fleet: Fleet) -> None:
    # Guards against a process that keeps whatever is sent to its operators.
    node = await fleet.start()
    address = node.dependencies.settings.operations_address
    reader, writer = await asyncio.open_connection(*address.split(':'))
    writer.write(
        b'POST /documents HTTP/1.1\r\nHost: a\r\n'
        b'Content-Length: 64000000\r\n\r\n'
    )
    async with asyncio.timeout(5):
        assert b' 413 ' in await reader.readline()
    writer.close()
    await writer.wait_closed()


async def test_deeply_nested_document_is_refused(fleet: Fleet) -> None:
    node = await fleet.start()
    response = await httpclient.AsyncHTTPClient().fetch(
        f'http://{node.dependencies.settings.operations_address}/documents',
        method='POST',
        body=b'\x81\xa1x%b' % (b'\x91' * 100_000),
        raise_error=False,
    )
    assert response.code == 400


async def test_leader_steps_down_when_its_lease_expires(fleet: Fleet) -> None:
    first, second = [await fleet.start() for _ in range(2)]
    candidacies = [node.lead('main') for node in (first, second)]
    await _until(lambda: any(candidacy.held for candidacy in candidacies))
    leader, follower = sorted(
        candidacies, key=lambda candidacy: not candidacy.held
    )
    assert not follower.held
    fleet.store.down = True
    await _until(lambda: not leader.held)
    fleet.store.down = False
    await _until(lambda: any(candidacy.held for candidacy in candidacies))
    assert not all(candidacy.held for candidacy in candidacies)


async def test_node_is_not_ready_before_its_role_listens(fleet: Fleet) -> None:
    node = await fleet.start()
    assert node.dependencies.documents.configuration.version
    assert not node.ready
    serving = asyncio.create_task(node.run(_drain))
    await _until(lambda: node.ready)
    node.stopping.set()
    await serving


load_tests = functions.loader(__name__, {'fleet': fleet})
