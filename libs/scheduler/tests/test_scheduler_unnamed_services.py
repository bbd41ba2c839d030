"""Entries of workers whose service nobody has named, yet or any more."""

import asyncio
import dataclasses

import scheduler_bench as benches
import scheduler_fleets as fleets

from jackdawlatch.jobs import queues
from jackdawlatch.model import records
from jackdawlatch.scheduler import observers
from jackdawlatch.store import keyvalue
from jackdawlatch.testing import functions, waiting

# Long enough for a few polls and a round of placements.
SETTLED_S = 0.3


async def test_worker_read_before_configuration_is_lost(bench):
    """Its entry may be read before the configuration, and is not repeated."""
    bench.catalog = queues.Catalog()
    worker = bench.add_worker('w1')
    async with bench.lead() as leader:
        await asyncio.sleep(SETTLED_S)
        assert not leader.cluster.workers_by_id
        leader.cluster.replace_catalog(benches.CATALOG)
        bench.submit(benches.job())
        await waiting.until(lambda: worker.running)


async def test_worker_of_a_service_that_a_job_names_is_lost(bench):
    """The host that has accepted the job may know a newer configuration."""
    bench.catalog = queues.Catalog()
    worker = bench.add_worker('w1')
    async with bench.lead():
        await asyncio.sleep(SETTLED_S)
        bench.submit(benches.job())
        await waiting.until(lambda: worker.running)


async def test_worker_of_a_removed_service_is_lost(bench):
    """Its jobs go on, and its entry is written again."""
    worker = bench.add_worker('w1')
    async with bench.lead() as leader:
        await waiting.until(lambda: worker.token)
        leader.cluster.replace_catalog(queues.Catalog(2))
        bench.add_entry(dataclasses.replace(worker.entry, draining=True))
        known = leader.cluster.workers_by_id['w1']
        await waiting.until(lambda: known.entry.draining)
        assert known.registered


async def test_withheld_entry_outlives_its_removal(bench):
    bench.catalog = queues.Catalog()
    bench.add_worker('w1')
    async with bench.lead() as leader:
        await asyncio.sleep(SETTLED_S)
        bench.remove_worker('w1')
        await asyncio.sleep(SETTLED_S)
        leader.cluster.replace_catalog(benches.CATALOG)
        assert not leader.cluster.workers_by_id


def test_odd_entry_ends_the_wait_for_a_late_start(fleet):
    """A draining worker has left once its entry is removed, not before."""
    task = fleet.add_job()
    worker = fleet.boot('w1')
    fleet.registry.register(dataclasses.replace(worker.entry, draining=True))
    late_starts = fleet.cluster.dependencies.late_starts
    late_starts.add(task.id, 'w1', fleet.cluster.now_s)
    late_starts.confirm('w1', fleet.cluster.now_s)
    observer = observers.WorkerObserver(
        fleet.registry, benches.Directory({}), lambda _worker: None
    )
    entry = keyvalue.Entry(key='workers/w1', value=b'unknown', revision=1)
    observer.change(entry)
    assert not worker.registered
    assert late_starts.of(task.id) == {'w1'}
    observer.change(records.replace(entry, deleted=True))
    assert not late_starts.of(task.id)


load_tests = functions.loader(
    __name__, {'bench': benches.bench, 'fleet': fleets.fleet}
)
