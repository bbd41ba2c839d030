"""Odd entries among those of the fleet, beside sound ones."""

import asyncio
import contextlib
import random
import types

from jackdawlatch.model import clocks, records
from jackdawlatch.node import documents, leadership, roster, watcher
from jackdawlatch.standins import fakes
from jackdawlatch.store import keyvalue
from jackdawlatch.testing import functions, waiting

NESTED = b'\x91' * 100_000
# Deep nesting in an unknown field, and alone, a text of no encoding, and a
# record of another type.
ODD_CONTENTS = (
    b''.join((b'\x81\xa1x', NESTED)),
    NESTED,
    b'\xff\xfe',
    records.encode(records.Record()),
)


class Bench:
    """A watcher over a fake store."""

    def __init__(self) -> None:
        self.store = fakes.FakeStore()
        self.roster = roster.Roster(_peer('local'), clocks.SystemClock())
        self.watcher = watcher.Watcher(
            types.SimpleNamespace(
                store=self.store,
                documents=documents.Documents(),
                roster=self.roster,
                leaders=leadership.Leaders(),
                rng=random.Random(1),
            )
        )

    def put(self, key: str, content: bytes) -> None:
        """Write a key, whatever its revision."""
        known = self.store.content.get(key)
        self.store.content.put(
            key, content, known.revision if known else keyvalue.ABSENT, ''
        )

    def register(self, name: str) -> None:
        """Write the entry of a process."""
        self.put(_peer(name).key, records.encode(_peer(name)))

    def knows(self, name: str) -> bool:
        """Whether the roster has a process."""
        return name in {peer.id for peer in self.roster.all_peers()}


@contextlib.asynccontextmanager
async def bench():
    """Yield a watcher that runs."""
    created = Bench()
    for number, content in enumerate(ODD_CONTENTS):
        created.put(f'{roster.PEERS_PREFIX}entry/odd{number}', content)
        created.put(f'{leadership.LEADERS_PREFIX}odd{number}', content)
    created.put(documents.CONFIG_KEY, ODD_CONTENTS[0])
    created.register('first')
    watching = asyncio.create_task(created.watcher.run(lambda _: None))
    try:
        yield created
    finally:
        watching.cancel()
        await asyncio.gather(watching, return_exceptions=True)


async def test_odd_entry_in_the_first_read_ends_the_watch(bench):
    await waiting.until(lambda: bench.knows('first'))


async def test_odd_entry_in_the_watch_ends_it(bench):
    await waiting.until(lambda: bench.watcher.reachable)
    for content in ODD_CONTENTS:
        bench.put(f'{roster.PEERS_PREFIX}entry/later', content)
        bench.put(f'{leadership.LEADERS_PREFIX}later', content)
        bench.put(documents.CONFIG_KEY, content)
    bench.register('second')
    await waiting.until(lambda: bench.knows('second'))


async def test_peer_whose_entry_turned_odd_is_kept(bench):
    await waiting.until(lambda: bench.knows('first'))
    bench.put(_peer('first').key, ODD_CONTENTS[0])
    await waiting.until(lambda: not bench.knows('first'))
    bench.register('first')
    await waiting.until(lambda: bench.knows('first'))


def _peer(name: str) -> roster.Peer:
    return roster.Peer(
        id=name,
        role='entry',
        zone='z',
        shard='s',
        peer_address='127.0.0.1:1',
        operations_address='127.0.0.1:2',
        started_s=1,
    )


load_tests = functions.loader(__name__, {'bench': bench})
