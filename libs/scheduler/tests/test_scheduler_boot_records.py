"""Records of boots, which a next leader compares with those that it finds.

The load is late requests of a former leader to a worker that starts again while
the leadership changes.
"""

import asyncio
import contextlib

import scheduler_bench as benches
import scheduler_fleets as fleets

from jackdawlatch.jobs import stored_boots
from jackdawlatch.model import records
from jackdawlatch.scheduler import boot_records, persistence, workers
from jackdawlatch.testing import functions, waiting


async def test_next_leader_takes_a_later_boot_for_the_first(bench):
    """Also if the boot registers before the next leader has read anything."""
    bench.add_worker('w1')
    async with bench.lead():
        await waiting.until(lambda: _recorded(bench) == {'w1': 1})
    bench.add_worker('w1', 2)
    bench.add_worker('w2')
    async with bench.lead() as leader:
        known = leader.cluster.workers_by_id
        await waiting.until(lambda: len(known) == 2)
        assert known['w1'].lease.longest_left_s
        assert not known['w2'].lease.longest_left_s
        await waiting.until(lambda: _recorded(bench) == {'w1': 2, 'w2': 1})


def test_boot_of_an_earlier_leader_counts_as_another(fleet):
    """Guards against leases that count as longer after each change."""
    worker = fleet.boot('w1')
    fleet.cluster.workers_by_id.clear()
    fleet.cluster.gone_workers.restore({'w1': worker.entry.born_ms})
    again = fleet.registry.register(worker.entry)
    assert not again.lease.longest_left_s


async def test_boots_of_earlier_leaders_are_kept_for_good(bench, fleet):
    fleet.cluster.gone_workers.restore({'old': 1})
    fleet.boot('w1')
    await _record(bench, fleet, {'old': 1, 'w1': 2})
    fleet.clock.advance(workers.LATE_REQUEST_S + 1)
    await _record(bench, fleet, {'w1': 2})


async def _record(
    bench: benches.Bench, fleet: fleets.Fleet, expected: dict[str, int]
) -> None:
    """Record boots until these are stored."""
    bench.put('fleet/leader', b'')
    entry = bench.store.content.get('fleet/leader')
    assert entry is not None
    recorder = boot_records.BootRecords(
        fleet.cluster,
        bench.store,
        persistence.Term('leader', entry.revision),
        lambda: True,
    )
    running = asyncio.create_task(recorder.run())
    await waiting.until(lambda: _recorded(bench) == expected)
    running.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await running


def _recorded(bench: benches.Bench) -> dict[str, int]:
    entry = bench.store.content.get(stored_boots.BOOTS_KEY)
    if entry is None:
        return {}
    return records.decode(entry.value, stored_boots.Boots).born_ms_by_id


load_tests = functions.loader(
    __name__, {'bench': benches.bench, 'fleet': fleets.fleet}
)
