"""The writes of a round that holds many jobs."""

import asyncio

import scheduler_bench as benches

from jackdawlatch.jobs import stored
from jackdawlatch.scheduler import persistence, tasks
from jackdawlatch.standins import fakes
from jackdawlatch.testing import functions

RESPONSE_TURNS = 5


class SlowStore(fakes.FakeStore):
    """Takes a few turns of the loop for a write; counts those under way."""

    def __init__(self) -> None:
        super().__init__()
        self.most = 0
        self._active = 0
        self.before_put = self._respond

    async def _respond(self) -> None:
        self._active += 1
        self.most = max(self.most, self._active)
        for _ in range(RESPONSE_TURNS):
            await asyncio.sleep(0)
        self._active -= 1


async def test_writes_of_a_round_wait_for_one_another():
    store = SlowStore()
    await _write(store, 2 * persistence.JOBS_PER_WRITE)
    assert store.most == 2


async def test_writes_under_way_are_bounded():
    store = SlowStore()
    await _write(store, 9 * persistence.JOBS_PER_WRITE)
    assert store.most == persistence.MAX_WRITES


async def test_round_is_reported_once_all_of_it_is_stored():
    store = SlowStore()
    stored_counts = await _write(store, 3 * persistence.JOBS_PER_WRITE)
    assert stored_counts == [3 * persistence.JOBS_PER_WRITE]


async def test_round_of_a_deposed_leader_is_not_reported():
    store = SlowStore()
    assert not await _write(store, 3 * persistence.JOBS_PER_WRITE, token=7)


async def _write(store: SlowStore, job_count: int, token: int = 0) -> list[int]:
    """Write jobs in one round; return how many were stored when reported."""
    leader = await store.put(stored.LEADER_KEY, b'', 0)
    token = token or leader.unwrap().revision
    writer = persistence.ProgressWriter(store, persistence.Term('a', token))
    counts: list[int] = []
    running = asyncio.create_task(writer.run())
    for number in range(job_count):
        writer.enqueue(tasks.JobState(benches.job(f'j{number}')))
    writer.enqueue(
        tasks.JobState(benches.job('j0')),
        lambda: counts.append(
            len(store.content.scan(stored.PROGRESS_PREFIX).entries)
        ),
    )
    waits = [
        asyncio.create_task(coroutine)
        for coroutine in (writer.flush(), writer.deposed.wait())
    ]
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for task in (running, *waits):
        task.cancel()
    await asyncio.gather(running, *waits, return_exceptions=True)
    return counts


load_tests = functions.loader(__name__)
