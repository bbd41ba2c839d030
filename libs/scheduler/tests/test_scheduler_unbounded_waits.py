"""Waits of ready tasks beside free workers that nothing ends in time."""

import asyncio
import contextlib

import scheduler_bench as benches
import test_scheduler_pools as pools_tests
from returns import result

from jackdawlatch.scheduler import advisor, health, job_loader, reports
from jackdawlatch.testing import functions

WORKER_COUNT = 40
MINUTE_S = 60


class NoAdvice(benches.FakeAdvice):
    """Approves no worker, and records which were asked for."""

    def __init__(self) -> None:
        super().__init__()
        self.asked: set[str] = set()

    async def advise(
        self, job: str, occurrence: int, step: int, workers: tuple[str, ...]
    ) -> result.Result[reports.Advice, reports.AdviceFailure]:
        """Return no ticket."""
        self.asked.update(workers)
        return result.Success(reports.Advice({}, valid_s=1))


@contextlib.contextmanager
def bench():
    """Yield pools whose cluster and planner the tests use."""
    yield pools_tests.Bench()


async def test_advice_asks_others_after_none_was_approved(bench):
    bench.add_workers('photo', WORKER_COUNT)
    job_loader.JobLoader(bench.cluster).add(benches.job('a'), None, 0)
    client = NoAdvice()
    tested = advisor.Advisor(bench.cluster, client, lambda: True)
    asking = asyncio.create_task(tested.run())
    waiting = bench.cluster.task(benches.task())
    for _ in range(20):
        tested.tickets(waiting.state)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        bench.clock.advance(1)
    asking.cancel()
    assert len(client.asked) == WORKER_COUNT


async def test_rare_failures_do_not_suspend_all_workers(bench):
    """Lasting tasks never end as done, so nothing ends a row of failures."""
    bench.add_workers('photo', 2)
    for _ in range(6):
        bench.clock.advance(MINUTE_S)
        for worker in bench.cluster.workers_by_id.values():
            health.record_failure(worker, bench.clock.monotonic_s())
    bench.submit_lasting('a', 'photos', count=1)
    waited_s = await bench.wait_until_planned('a')
    assert waited_s < pools_tests.ALLOWED_WAIT_S


async def test_late_job_starts_beside_partly_used_workers(bench):
    """Machines with one long task are vacated, though most room is free."""
    bench.machines.refusing = True
    bench.add_workers('photo', 4)
    bench.add_workers('desk', 2)
    bench.submit_in_time('wanting', 'letters', count=80)
    bench.submit('long', count=4)
    for number in range(4):
        bench.start('long', f'photo{number}', 1)
    bench.submit('late', count=1)
    bench.clock.advance(pools_tests.LATE_S)
    await bench.rounds(1)
    waited_s = await bench.wait_until_planned('late')
    assert waited_s < pools_tests.ALLOWED_WAIT_S


load_tests = functions.loader(__name__, {'bench': bench})
