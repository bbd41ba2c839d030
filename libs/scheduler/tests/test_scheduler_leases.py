"""Records of the leases of unreachable workers.

Time is virtual.
"""

import asyncio

import msgspec
import scheduler_leases as leases
import scheduler_takeovers as takeovers
import test_scheduler_fuzz as simulations
from returns import result

from jackdawlatch.jobs import stored
from jackdawlatch.model import clocks, records
from jackdawlatch.scheduler import observers, workers
from jackdawlatch.store import keyvalue, transactions
from jackdawlatch.testing import functions

AWAY_S = 2.5
PROMPT_S = 1.0
LEASE_S = 5.0
BOOT = ('w1', 1)


def test_lease_counts_from_the_first_sighting():
    clock = clocks.ManualClock()
    sightings = observers.LeaseSightings(clock)
    sightings.observe(_entry('a', LEASE_S))
    clock.advance(1)
    # It was written 0.5 s ago.
    sightings.observe(_entry('a', LEASE_S - 0.5))
    assert sightings.records_by_boot[BOOT].end_s == LEASE_S


def test_lease_of_a_worker_lost_again_counts_anew():
    clock = clocks.ManualClock()
    sightings = observers.LeaseSightings(clock)
    sightings.observe(_entry('a', LEASE_S))
    clock.advance(3)
    sightings.observe(_entry('b', LEASE_S))
    assert sightings.records_by_boot[BOOT].end_s == 3 + LEASE_S


def test_cleared_and_malformed_records_are_forgotten():
    sightings = observers.LeaseSightings(clocks.ManualClock())
    for content in (records.encode(stored.Leases()), b'?'):
        sightings.observe(_entry('a', LEASE_S))
        sightings.observe(
            keyvalue.Entry(key=stored.LEASES_KEY, value=content, revision=2)
        )
        assert not sightings.records_by_boot


def test_records_before_an_earlier_release_are_void():
    sightings = observers.LeaseSightings(clocks.ManualClock())
    sightings.observe_leader(_leader(1, records_leases=True))
    sightings.observe(_entry('a', LEASE_S, revision=2))
    assert sightings.records_by_boot
    sightings.observe_leader(_leader(3, records_leases=False))
    sightings.observe_leader(_leader(4, records_leases=True))
    sightings.observe(_entry('a', LEASE_S, revision=2))
    assert not sightings.records_by_boot


async def test_recorded_lease_is_cleared_then_extended():
    """The leader before may have stopped before it cleared them."""

    def scenario(simulation: simulations.Simulation) -> None:
        simulation.bench.store.content.commit(
            transactions.Transaction(puts=(_put('a', -LEASE_S),))
        )
        simulation.term = simulation.begin_term()
        simulation.run(PROMPT_S)
        assert not simulation.workers.violations
        assert not leases.recorded(simulation.bench)
        known = simulation.workers.by_id['w1']
        assert known.lease.end_s > workers.LEASE_S  # type: ignore[attr-defined]

    await asyncio.to_thread(takeovers.play, scenario)


async def test_delayed_write_does_not_restore_a_record():
    def scenario(simulation: simulations.Simulation) -> None:
        store = simulation.bench.store
        cut = takeovers.cut_worker(simulation)
        commits: list[transactions.Transaction] = []
        commit = store.commit

        async def record(
            transaction: transactions.Transaction,
        ) -> result.Result[int, keyvalue.WriteFailure]:
            commits.append(transaction)
            return await commit(transaction)

        store.commit = record  # type: ignore[method-assign]
        simulation.run(AWAY_S)
        assert leases.recorded(simulation.bench)
        cut.down = False
        simulation.run(PROMPT_S)
        writes = [one for one in commits if _writes_leases(one)]
        for delayed in writes:
            assert isinstance(store.content.commit(delayed), result.Failure)
        assert not leases.recorded(simulation.bench)

    await asyncio.to_thread(takeovers.play, scenario)


async def test_record_stands_until_the_release_is_stored():
    """Without it, the next leader would wait for the whole lease again."""

    def scenario(simulation: simulations.Simulation) -> None:
        lost = takeovers.cut_worker(simulation)
        simulation.run(workers.LEASE_S)
        simulation.bench.store.slow_s = 0.1
        while _is_stored_on(simulation, lost.entry.id):
            assert leases.recorded(simulation.bench)
            simulation.run(simulations.POLL_S)

    await asyncio.to_thread(takeovers.play, scenario)


def _is_stored_on(simulation: simulations.Simulation, worker: str) -> bool:
    progress = simulation.bench.progress(takeovers.TASK.job)
    assert progress is not None
    return progress.tasks[0].worker == worker


def _writes_leases(transaction: transactions.Transaction) -> bool:
    return any(put.key == stored.LEASES_KEY for put in transaction.puts)


def _put(episode: str, left_s: float) -> transactions.Put:
    written = stored.Leases(rests=(stored.LeaseRest(*BOOT, episode, left_s),))
    return transactions.Put(
        key=stored.LEASES_KEY, content=records.encode(written)
    )


def _entry(episode: str, left_s: float, revision: int = 1) -> keyvalue.Entry:
    return keyvalue.Entry(
        key=stored.LEASES_KEY,
        value=_put(episode, left_s).content,
        revision=revision,
    )


def _leader(revision: int, records_leases: bool) -> keyvalue.Entry:
    # Earlier releases leave the field out.
    fields = {'records_leases': True} if records_leases else {}
    return keyvalue.Entry(
        key=stored.LEADER_KEY,
        value=msgspec.msgpack.encode({'name': 'n', **fields}),
        revision=revision,
    )


load_tests = functions.loader(__name__)
