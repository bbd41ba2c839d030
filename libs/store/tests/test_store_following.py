import asyncio
import contextlib
import unittest
from collections.abc import AsyncIterator, Iterable

from jackdawlatch.standins import fakes
from jackdawlatch.store import (
    following,
    keyvalue,
    skipped_entries,
    transactions,
)
from jackdawlatch.testing import functions, waiting

PREFIX = 'p/'
FAULTY = b'faulty'


class Observer(following.Observer):
    """Collects values; raises for those that are ``FAULTY``."""

    def __init__(self) -> None:
        self.values_by_key: dict[str, bytes] = {}
        self.reset_fails = False

    def reset(self, entries: Iterable[keyvalue.Entry]) -> None:
        """Replace all values."""
        self.values_by_key = {}
        for entry in entries:
            self.observe(entry)
        if self.reset_fails:
            raise ValueError('after the entries')

    def change(self, entry: keyvalue.Entry) -> None:
        """Add one value."""
        if entry.value == FAULTY:
            raise ValueError(entry.key)
        self.values_by_key[entry.key] = entry.value


class Bench:
    """A follower of a fake store that already holds one faulty entry."""

    def __init__(self) -> None:
        self.store = fakes.FakeStore()
        self.observer = Observer()
        self.follower = following.Follower(
            self.store, PREFIX, self.observer, following.WatchTiming()
        )
        self.write(a=FAULTY, b=b'1')

    def write(self, **values: bytes) -> None:
        """Write the values under their names."""
        self.store.content.commit(
            transactions.Transaction(
                puts=tuple(
                    transactions.Put(key=PREFIX + name, content=content)
                    for name, content in values.items()
                )
            )
        )

    async def until(self, key: str, content: bytes) -> None:
        """Wait until the observer has a value."""
        await waiting.until(
            lambda: self.observer.values_by_key.get(key) == content
        )


@contextlib.asynccontextmanager
async def bench() -> AsyncIterator[Bench]:
    created = Bench()
    running = asyncio.create_task(created.follower.run())
    try:
        yield created
    finally:
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)


async def test_faulty_entry_in_first_scan_costs_only_itself(
    bench: Bench,
) -> None:
    async with asyncio.timeout(waiting.WAIT_S):
        await bench.follower.started.wait()
    assert bench.observer.values_by_key == {'p/b': b'1'}


async def test_faulty_entry_in_watch_costs_only_itself(bench: Bench) -> None:
    await bench.until('p/b', b'1')
    bench.write(c=FAULTY, d=b'2')
    await bench.until('p/d', b'2')
    bench.write(c=b'3')
    await bench.until('p/c', b'3')


async def test_follower_goes_on_after_faulty_reset(bench: Bench) -> None:
    bench.observer.reset_fails = True
    async with asyncio.timeout(waiting.WAIT_S):
        await bench.follower.started.wait()
    bench.write(d=b'2')
    await bench.until('p/d', b'2')


async def test_faulty_entry_is_logged_once_with_traceback(
    bench: Bench,
) -> None:
    logged = unittest.TestCase().assertLogs('absl')
    with logged:
        for number in range(3):
            bench.write(a=FAULTY, d=b'%d' % number)
            await bench.until('p/d', b'%d' % number)
    traces = [line for line in logged.watcher.output if 'p/a' in line]
    assert len(traces) == 1
    assert 'Traceback' in traces[0]


def test_many_skipped_entries_do_not_flood_the_log() -> None:
    skipped = skipped_entries.SkippedEntries()
    logged = unittest.TestCase().assertLogs('absl')
    with logged:
        for number in range(2 * skipped_entries.MAX_LINES):
            skipped.log(f'p/{number}', 'x' * 100_000)
    assert len(logged.watcher.output) == skipped_entries.MAX_LINES
    assert max(map(len, logged.watcher.output)) < 1000


load_tests = functions.loader(__name__, {'bench': bench})
