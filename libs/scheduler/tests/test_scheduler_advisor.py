"""Which workers the advice service is asked about, and when."""

import asyncio
import contextlib
import dataclasses

import scheduler_bench as benches
import test_scheduler_pools as pools_tests
from returns import result

from jackdawlatch.scheduler import (
    advisor,
    job_loader,
    placements,
    placing,
    reports,
    reservations,
    worker_registry,
)
from jackdawlatch.testing import functions

VALID_S = 9
SERVICE_SIZE = 2 * advisor.MAX_WORKERS


class Advice(benches.FakeAdvice):
    """Approves some workers of those asked about, and records the calls."""

    def __init__(self) -> None:
        super().__init__()
        self.calls: list[tuple[str, ...]] = []

    async def advise(
        self, job: str, occurrence: int, step: int, workers: tuple[str, ...]
    ) -> result.Result[reports.Advice, reports.AdviceFailure]:
        """Return the tickets of the approved workers."""
        self.calls.append(workers)
        tickets = {
            worker: ticket
            for worker, ticket in self.approved.items()
            if worker in workers
        }
        return result.Success(reports.Advice(tickets, VALID_S))


class Bench(pools_tests.Bench):
    """Plans one step, between the requests of an advisor."""

    def __init__(self) -> None:
        super().__init__()
        self.client = Advice()
        self.advisor = advisor.Advisor(self.cluster, self.client, lambda: True)

    def add_job(self, job_id: str = 'a', **step: object) -> None:
        """Accept a job."""
        job = benches.job(job_id, **step)
        job_loader.JobLoader(self.cluster).add(job, None, 0)

    def approve(self, *names: str) -> None:
        """Approve these workers from now on."""
        self.client.approved.update({name: 'ticket' for name in names})

    async def plan(self, rounds: int = 9) -> list[placements.Placement]:
        """Plan some rounds; return what the last one places."""
        asking = asyncio.create_task(self.advisor.run())
        placed: list[placements.Placement] = []
        for _ in range(rounds):
            placed = self._place()
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        asking.cancel()
        return placed

    def _place(self) -> list[placements.Placement]:
        reserved = reservations.Reservations(
            {'photo': list(self.cluster.workers_by_id.values())},
            self.clock.monotonic_s(),
        )
        job = self.cluster.jobs_by_id['a']
        return placing.StepPlacer(job.steps[0], reserved, self.advisor).place()


@contextlib.contextmanager
def bench():
    """Yield workers beyond those of one request, and a step that waits."""
    tested = Bench()
    tested.add_workers('photo', SERVICE_SIZE)
    yield tested


async def test_one_call_is_enough_when_workers_are_approved(bench):
    bench.add_job(count=4)
    bench.approve('photo0')
    assert len(await bench.plan()) == 4
    assert len(bench.client.calls) == 1


async def test_others_are_asked_at_once_when_all_are_refused(bench):
    bench.add_job()
    bench.approve(f'photo{SERVICE_SIZE - 1}')
    assert await bench.plan()
    assert len(bench.client.calls) == 2


async def test_others_are_asked_when_the_approved_are_full(bench):
    bench.add_job(count=8)
    bench.approve('photo0', f'photo{SERVICE_SIZE - 1}')
    assert len(await bench.plan()) == 8


async def test_full_workers_are_not_asked_about_in_vain(bench):
    bench.add_job(count=8)
    bench.approve('photo0')
    bench.add_job('filling', count=4 * SERVICE_SIZE)
    for number in range(1, SERVICE_SIZE):
        bench.start('filling', f'photo{number}', 4)
    assert len(await bench.plan()) == 4
    assert len(bench.client.calls) == 1


async def test_refusal_holds_for_one_boot_of_a_worker(bench):
    bench.add_job()
    await bench.plan()
    bench.clock.advance(VALID_S)
    assert not await bench.plan()
    assert len(bench.client.calls) == 2
    reborn = bench.cluster.workers_by_id['photo7'].entry
    worker_registry.WorkerRegistry(bench.cluster).register(
        dataclasses.replace(reborn, born_ms=2)
    ).reachable = True
    await bench.plan()
    assert bench.client.calls[2:] == [('photo7',)]


async def test_ticket_is_valid_for_one_boot_of_a_worker(bench):
    bench.add_job()
    bench.approve('photo0')
    assert await bench.plan()
    reborn = bench.cluster.workers_by_id['photo0'].entry
    worker_registry.WorkerRegistry(bench.cluster).register(
        dataclasses.replace(reborn, born_ms=2)
    ).reachable = True
    assert not await bench.plan(rounds=1)


async def test_expired_tickets_are_requested_again(bench):
    bench.add_job()
    bench.approve('photo0')
    assert await bench.plan()
    bench.clock.advance(VALID_S)
    assert not await bench.plan(rounds=1)
    assert await bench.plan()


async def test_only_workers_with_the_label_are_asked_about(bench):
    labelled = bench.cluster.workers_by_id[f'photo{SERVICE_SIZE - 1}']
    labelled.update(dataclasses.replace(labelled.entry, labels=('fast',)))
    bench.add_job(required_label='fast')
    bench.approve(labelled.entry.id)
    assert await bench.plan()
    assert bench.client.calls == [(labelled.entry.id,)]


load_tests = functions.loader(__name__, {'bench': bench})
