"""The leader publishes forecasts while a service is overloaded, else nothing."""

import contextlib

import scheduler_bench as benches
import scheduler_fleets as fleets

from jackdawlatch.jobs import model, queues, stored, stored_load
from jackdawlatch.model import records
from jackdawlatch.scheduler import (
    load_forecasts,
    load_reports,
    persistence,
    runs,
    team_accounts,
)
from jackdawlatch.standins import fakes
from jackdawlatch.testing import functions


class Reports(fleets.Fleet):
    """A cluster whose load is published; work is done only by ``finish``."""

    def __init__(self) -> None:
        super().__init__()
        self.store = fakes.FakeStore(self.clock)
        self.cluster.catalog = queues.Catalog(
            1, (benches.QUEUE,), (queues.Service('photo'),)
        )
        self.machines = load_forecasts.Machines({})
        self.reporter = self.new_reporter()

    def new_reporter(self) -> load_reports.LoadReporter:
        """Win the leadership key."""
        put = stored.LEADER_KEY
        known = self.store.content.get(put)
        written = self.store.content.put(
            put, b'x', known.revision if known else 0, ''
        )
        return load_reports.LoadReporter(
            load_reports.Dependencies(
                self.cluster,
                self.store,
                persistence.Term('a', written.unwrap().revision),
                lambda: True,
                lambda: self.machines,
            )
        )

    def burst(self, count: int) -> None:
        """Add jobs that need 40 core-seconds each."""
        for number in range(count):
            self.add_job(f'b{number}', count=20, estimate_s=2)

    def published(self) -> stored_load.Load | None:
        """Return the published forecast."""
        entry = self.store.content.get(stored.LOAD_KEY)
        if entry is None:
            return None
        return records.decode(entry.value, stored_load.Load)

    async def wait_s(self) -> float:
        """Publish; return how long late work waits behind all other."""
        await self.reporter.publish()
        load = self.published()
        levels = load.levels_by_service.get('photo', ()) if load else ()
        return levels[-1].late_wait_s if levels else 0


@contextlib.contextmanager
def reports():
    yield Reports()


async def test_nothing_is_written_without_overload(reports):
    reports.boot('w')
    reports.add_job('a', count=2, estimate_s=2)
    for _ in range(3):
        assert not await reports.wait_s()
    assert not reports.store.calls_by_name['commit']


async def test_burst_is_published_until_it_ends(reports):
    reports.boot('w')
    reports.burst(10)
    # 400 core-seconds on four cores, useful for at most 3 x 4 s.
    assert 5 < await reports.wait_s() < 100
    await reports.reporter.publish()
    for job in reports.cluster.jobs_by_id.values():
        job.phase = stored.JobPhase.DONE
    for _ in range(3):
        assert not await reports.wait_s()
    assert not reports.published().levels_by_service
    assert reports.store.calls_by_name['commit'] == 3


async def test_former_leader_publishes_nothing(reports):
    reports.boot('w')
    reports.burst(10)
    await reports.reporter.publish()
    before = reports.published()
    former, reports.reporter = reports.reporter, reports.new_reporter()
    await former.publish()
    assert reports.published() == before
    # The first write of the next leader replaces the record.
    assert await reports.wait_s()
    assert reports.published().token > before.token


async def test_lost_reply_of_a_write_is_made_up_for(reports):
    reports.boot('w')
    reports.burst(10)
    reports.store.lose_replies = 2
    await reports.reporter.publish()
    reports.clock.advance(1)
    assert await reports.wait_s()


async def test_loss_of_a_rack_and_workers_that_may_return(reports):
    rack = [reports.boot(f'w{number}') for number in range(10)]
    reports.burst(4)
    all_up_s = await reports.wait_s()
    reports.lose(*rack[1:])
    # Registered workers may answer again: the forecast counts them.
    unanswered_s = await reports.wait_s()
    for worker in rack[1:]:
        worker.registered = False
    lost_s = await reports.wait_s()
    assert all_up_s <= unanswered_s < lost_s
    # Machines that are wanted and may join count as well.
    reports.machines = load_forecasts.Machines({'photo': 10}, 9)
    assert await reports.wait_s() < lost_s
    reports.lose(rack[0])
    rack[0].registered = False
    # Without any worker nothing is known.
    assert not await reports.wait_s()


async def test_work_that_delays_nobody_is_not_counted(reports):
    # A flood of one team beside other jobs, and lasting tasks.
    worker = reports.boot('w')
    reports.burst(10)
    for job in reports.cluster.jobs_by_id.values():
        job.claim = team_accounts.Claim(within_share=False)
    lasting = reports.add_job('l', count=50, lasting=True)
    reports.start(lasting, worker, runs.RunPhase.RUNNING)
    assert not await reports.wait_s()
    reports.loader.add(
        records.replace(
            benches.job('r', count=99, estimate_s=9),
            repeat_count=5,
            interval_s=1,
        ),
        None,
        0,
    )
    assert not await reports.wait_s()


async def test_steps_that_wait_for_others_count_later(reports):
    reports.boot('w')
    first = model.Step(
        count=1, room=model.Room(processors_m=1000), estimate_s=8
    )
    steps = (first, records.replace(first, count=90, after=(0,)))
    job = records.replace(benches.job('a'), steps=steps)
    reports.loader.add(job, None, 0)
    # Its first step leaves room, and a job that arrives now starts at once.
    assert not await reports.wait_s()


load_tests = functions.loader(__name__, {'reports': reports})
