import asyncio

from returns import result

from jackdawlatch.model import clocks, failures, hosts, work
from jackdawlatch.placement import (
    buckets,
    drafts,
    endings,
    job_registry,
    transitions,
)
from jackdawlatch.standins import fakes
from jackdawlatch.testing import functions

STITCH = drafts.Draft(service='desk', processors=2, command='stitch')
LEASE_S = 30


def _registry(
    store: fakes.FakeStore, clock: clocks.Clock | None = None
) -> job_registry.JobRegistry:
    return job_registry.JobRegistry(
        store,
        job_registry.Options(shard='a', buckets=4, window_s=0, retention_s=60),
        clock or clocks.ManualClock(),
    )


async def test_repeat_at_another_entry_returns_the_same_job() -> None:
    store = fakes.FakeStore()
    entries = [_registry(store) for _ in range(3)]
    submitted = await asyncio.gather(
        *(entry.submit(STITCH, 'couriers', 'key-1') for entry in entries)
    )
    assert len({job.unwrap().id for job in submitted}) == 1
    found = await entries[0].find(submitted[0].unwrap().id)
    assert found == submitted[0]


async def test_same_key_for_a_different_job_is_refused() -> None:
    registry = _registry(fakes.FakeStore())
    first = (await registry.submit(STITCH, 'couriers', 'key-1')).unwrap()
    other = drafts.Draft(service='desk', command='bill')
    refused = await registry.submit(other, 'couriers', 'key-1')
    assert isinstance(refused.failure(), job_registry.KeyReused)
    assert (await registry.find(first.id)).unwrap() == first
    elsewhere = await registry.submit(other, 'drivers', 'key-1')
    assert elsewhere.unwrap().id != first.id


async def test_outage_gives_not_run_and_lost_reply_unknown() -> None:
    store = fakes.FakeStore()
    registry = _registry(store)
    store.down = True
    refused = await registry.submit(STITCH, 'couriers', '')
    assert isinstance(refused.failure(), failures.NotRun)
    store.down = False
    store.lose_replies = 1

    async def fail_read_back() -> None:
        store.down = True

    store.before_put = fail_read_back
    unknown = await registry.submit(STITCH, 'couriers', '')
    assert isinstance(unknown.failure(), failures.OutcomeUnknown)


async def test_full_bucket_refuses_until_ended_jobs_expire() -> None:
    clock = clocks.ManualClock()
    registry = _registry(fakes.FakeStore(), clock)
    bulky = drafts.Draft(service='desk', command='x' * 4000)
    outcomes = [
        await registry.submit(bulky, 'a', str(number)) for number in range(1200)
    ]
    refused = [one.failure() for one in outcomes if _failed(one)]
    assert refused
    assert all(isinstance(failure, buckets.Full) for failure in refused)
    ids = [one.unwrap().id for one in outcomes if not _failed(one)]
    await asyncio.gather(*(registry.cancel(job_id) for job_id in ids))
    clock.advance(61)
    again = [
        await registry.submit(bulky, 'b', str(number)) for number in range(20)
    ]
    assert not any(_failed(one) for one in again)
    assert isinstance((await registry.find(ids[0])).failure(), buckets.Unknown)


async def test_cancel_is_idempotent_and_leaves_final_jobs() -> None:
    store = fakes.FakeStore()
    registry = _registry(store)
    job = (await registry.submit(STITCH, 'couriers', '')).unwrap()
    once = (await registry.cancel(job.id)).unwrap()
    twice = (await registry.cancel(job.id)).unwrap()
    assert once.state is work.JobState.CANCELLED
    assert twice == once
    refused = transitions.assign(once, 'h1', 0, LEASE_S)
    assert isinstance(refused.failure(), endings.Superseded)


async def test_concurrent_cancellations_share_writes() -> None:
    store = fakes.FakeStore()
    registry = _registry(store)
    jobs = await asyncio.gather(
        *(
            registry.submit(STITCH, 'couriers', str(number))
            for number in range(200)
        )
    )
    before = store.calls_by_name['put']
    await asyncio.gather(*(registry.cancel(job.unwrap().id) for job in jobs))
    assert store.calls_by_name['put'] - before <= 4


def test_impossible_job_is_refused_with_the_reason() -> None:
    largest = hosts.Capacity(processors=64, memory_mb=1024)
    declared = hosts.Capacity(processors=65)
    refused = drafts.check_fit(declared, [largest, largest])
    assert isinstance(refused.failure(), drafts.Impossible)
    fitting = hosts.Capacity(processors=64)
    assert drafts.check_fit(fitting, [largest]) == result.Success(None)


def _failed(outcome: job_registry.Outcome) -> bool:
    return isinstance(outcome, result.Failure)


load_tests = functions.loader(__name__)
