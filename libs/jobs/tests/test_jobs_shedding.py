"""The intake refuses jobs by the forecast, and keeps nothing of them."""

import contextlib
import json
import os

from jackdawlatch.jobs import intake, model, outcomes, queues, stored_load
from jackdawlatch.model import clocks, records
from jackdawlatch.standins import fakes
from jackdawlatch.store import keyvalue, monitored
from jackdawlatch.telemetry import decisions, meters
from jackdawlatch.testing import functions

QUEUE = queues.Queue('q', 'h', '/q/', 's', 1, slack_factor=1.6, target_s=0.6)
STEP = model.Step(
    count=4, room=model.Room(processors_m=500), estimate_s=1, after=()
)
JOB = model.Job(id='a', queue='q', service='s', steps=(STEP,))
LEADER = 7
KEY = 'work/jobs/a'


class Bench:
    """An intake that knows of a backlog of 20 s before less urgent work."""

    def __init__(self, stream) -> None:
        self.instruments = meters.Meters('test', 'test')
        self.clock = clocks.ManualClock(start_s=10)
        self.store = fakes.FakeStore(self.clock)
        self.watchdog = monitored.Watchdog(self.clock, self.instruments)
        self.intake = intake.Intake(
            intake.Dependencies(
                monitored.MonitoredStore(self.store, self.watchdog),
                self.clock,
                decisions.DecisionLog(
                    't', self.clock, self.instruments, stream
                ),
                self.instruments,
            )
        )
        self.intake.catalog = queues.Catalog(1, (QUEUE,))
        self.sightings = self.intake.load_sightings
        self.sightings.observe_leader(LEADER)
        self.publish()

    def publish(self, token: int = LEADER) -> None:
        """Let a leader publish the backlog."""
        level = stored_load.LoadLevel(0, 1, 20, 30)
        self.sightings.observe(
            stored_load.Load(token=token, levels_by_service={'s': (level,)})
        )

    async def refuses(self, job: model.Job = JOB) -> bool:
        """Submit a job; return whether it is refused for the backlog."""
        outcome = await self.intake.submit(job, 'r')
        failure = outcome.swap().value_or(None)
        return getattr(failure, 'reason', '') == 'backlog'


@contextlib.contextmanager
def bench():
    reading, writing = os.pipe()
    with os.fdopen(reading) as lines, os.fdopen(writing, 'w') as stream:
        created = Bench(stream)
        created.lines = lines
        yield created


async def test_refused_job_is_not_kept_and_accepted_later(bench):
    refused = await bench.intake.submit(JOB, 'r')
    assert 30 <= refused.failure().retry_after_s <= 60
    assert not bench.store.calls_by_name['commit']
    assert bench.store.content.get(KEY) is None
    line = json.loads(bench.lines.readline())
    assert (line['event'], line['job']) == ('submit', 'a')
    assert line['reason'] == 'backlog'
    assert b'submit-refused-backlog' in bench.instruments.exposition()
    # The overload has ended: the same id is one job.
    bench.sightings.observe(
        stored_load.Load(token=LEADER, levels_by_service={})
    )
    for _ in range(2):
        assert (await bench.intake.submit(JOB, 'r')).value_or('no') is None
    assert bench.store.content.get(KEY) is not None


async def test_resend_of_an_accepted_job_during_overload(bench):
    await bench.store.put(KEY, records.pack(JOB), keyvalue.ABSENT)
    before = bench.store.content.get(KEY)
    assert (await bench.intake.submit(JOB, 'r')).value_or('no') is None
    assert bench.store.content.get(KEY) == before


async def test_failed_read_does_not_refuse_for_the_backlog(bench):
    # The job may have been accepted: only a write shows whether it was.
    bench.store.down = True
    failure = (await bench.intake.submit(JOB, 'r')).failure()
    assert isinstance(failure, outcomes.NotAccepted)
    assert failure.reason != 'backlog'
    assert failure.retry_after_s == 1


async def test_no_refusal_while_a_write_may_be_late(bench):
    """Guards against a job that runs after its resend was refused."""
    other = records.replace(JOB, id='b', service='other')
    bench.store.lose_replies = 1
    lost = await bench.intake.submit(other, 'r')
    assert isinstance(lost.failure(), outcomes.OutcomeUnknown)
    await bench.watchdog.timed(bench.store.get('any'))
    bench.clock.advance(11)
    bench.publish()
    assert (await bench.intake.submit(JOB, 'r')).value_or('no') is None
    bench.clock.advance(5)
    bench.publish()
    assert await bench.refuses(records.replace(JOB, id='c'))


async def test_stale_forecast_or_change_of_leader(bench):
    assert await bench.refuses()
    bench.clock.advance(3.1)
    assert not await bench.refuses()
    bench.publish()
    # No leader, then another one, then one that was suspended meanwhile.
    for leader in (keyvalue.ABSENT, LEADER + 5):
        bench.sightings.observe_leader(leader)
        assert not await bench.refuses(records.replace(JOB, id=f'b{leader}'))
    bench.publish(LEADER)
    assert not await bench.refuses(records.replace(JOB, id='c'))
    bench.publish(LEADER + 5)
    assert await bench.refuses(records.replace(JOB, id='d'))


async def test_some_jobs_are_accepted_whatever_waits(bench):
    small = records.replace(STEP, count=1)
    lasting = records.replace(STEP, lasting=True)
    bench.intake.catalog = queues.Catalog(
        1, (QUEUE, queues.Queue('urgent', 'h', '/u/', 's'))
    )
    for number, job in enumerate(
        (
            records.replace(JOB, steps=(lasting,)),
            records.replace(JOB, steps=(STEP, model.Step(count=1))),
            records.replace(JOB, repeat_count=3, interval_s=10),
            records.replace(JOB, queue='removed'),
            records.replace(JOB, queue='urgent', steps=(small,)),
            records.replace(JOB, service='other'),
        )
    ):
        assert not await bench.refuses(records.replace(job, id=f'e{number}'))


load_tests = functions.loader(__name__, {'bench': bench})
