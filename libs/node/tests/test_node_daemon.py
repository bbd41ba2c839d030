import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

from tornado import testing as tornado_testing

from jackdawlatch.model import presets, records
from jackdawlatch.node import daemon, documents
from jackdawlatch.settings import daemons
from jackdawlatch.standins import fakes
from jackdawlatch.store import keyvalue
from jackdawlatch.testing import functions

PATIENCE_STEPS = 400
STEP_S = 0.02


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
    made = Fleet()
    await made.accept(1)
    try:
        yield made
    finally:
        for node in made.nodes:
            node.stopping.set()
            await node.run(_nothing_in_flight)


async def _nothing_in_flight() -> None:
    """Drain nothing."""


async def _until(holds: Callable[[], bool]) -> None:
    for _ in range(PATIENCE_STEPS):
        if holds():
            return
        await asyncio.sleep(STEP_S)
    raise AssertionError('it never came to hold')


async def test_document_spreads_while_the_store_is_down(fleet: Fleet) -> None:
    first, second, third = [await fleet.start() for _ in range(3)]
    fleet.store.down = True
    await _until(lambda: not third.store_reachable)
    first.parts.documents.offer(
        documents.Document(
            key=documents.CONFIG_KEY,
            revision=1000,
            content=records.encode(presets.Configuration(version=2)),
        )
    )
    await _until(lambda: third.parts.documents.configuration.version == 2)
    await _until(lambda: second.parts.documents.configuration.version == 2)


async def test_process_started_in_an_outage_catches_up(fleet: Fleet) -> None:
    first = await fleet.start()
    fleet.store.down = True
    late = await fleet.start()
    assert late.parts.documents.configuration.version == 1
    await _until(lambda: len(first.parts.roster.by_role('entry')) == 2)


async def test_stale_document_is_not_applied(fleet: Fleet) -> None:
    node = await fleet.start()
    entry = await fleet.accept(2)
    await _until(lambda: node.parts.documents.configuration.version == 2)
    old = documents.Document(
        key=entry.key,
        revision=entry.revision - 1,
        content=records.encode(presets.Configuration(version=1)),
    )
    assert not node.parts.documents.offer(old)
    assert node.parts.documents.configuration.version == 2


async def test_leader_that_lost_its_lease_knows_it(fleet: Fleet) -> None:
    first, second = [await fleet.start() for _ in range(2)]
    candidacies = [node.lead('main') for node in (first, second)]
    await _until(lambda: any(one.held for one in candidacies))
    leader, follower = sorted(candidacies, key=lambda one: not one.held)
    assert not follower.held
    fleet.store.down = True
    await _until(lambda: not leader.held)
    fleet.store.down = False
    await _until(lambda: any(one.held for one in candidacies))
    assert not all(one.held for one in candidacies)


async def test_node_is_not_ready_before_its_role_listens(fleet: Fleet) -> None:
    node = await fleet.start()
    assert node.parts.documents.configuration.version
    assert not node.ready
    serving = asyncio.create_task(node.run(_nothing_in_flight))
    await _until(lambda: node.ready)
    node.stopping.set()
    await serving


load_tests = functions.loader(__name__, {'fleet': fleet})
