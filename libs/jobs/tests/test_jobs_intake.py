"""Answers of the intake when writes succeed, fail or lose their reply."""

import contextlib
import os

import msgspec

from jackdawlatch.jobs import checks, intake, model, stored
from jackdawlatch.model import clocks, records
from jackdawlatch.standins import fakes
from jackdawlatch.store import keyvalue, monitored
from jackdawlatch.telemetry import decisions, meters
from jackdawlatch.testing import functions

JOB = model.Job(id='a', queue='q', service='s', steps=(model.Step(count=1),))


class Bench:
    """An intake on a fake store and a manual clock."""

    def __init__(self, stream) -> None:
        instruments = meters.Meters('test', 'test')
        self.clock = clocks.ManualClock(start_s=10)
        self.store = fakes.FakeStore(self.clock)
        self.watchdog = monitored.Watchdog(self.clock, instruments)
        self.intake = intake.Intake(
            intake.Dependencies(
                monitored.MonitoredStore(self.store, self.watchdog),
                self.clock,
                decisions.DecisionLog('t', self.clock, instruments, stream),
                instruments,
            )
        )


@contextlib.contextmanager
def bench():
    reading, writing = os.pipe()
    with os.fdopen(reading), os.fdopen(writing, 'w') as stream:
        yield Bench(stream)


async def test_resent_job_is_stored_once(bench):
    await bench.intake.submit(JOB, 'r1')
    first = bench.store.content.get('work/jobs/a')
    again = await bench.intake.submit(JOB, 'r2')
    assert again.value_or('failed') is None
    assert bench.store.content.get('work/jobs/a') == first


async def test_lost_reply_is_reported_as_unknown(bench):
    bench.store.lose_replies = 1
    submitted = await bench.intake.submit(JOB, 'r1')
    # Not reported as refused, because the job is stored and will run.
    assert isinstance(submitted.failure(), intake.OutcomeUnknown)
    assert bench.store.content.get('work/jobs/a') is not None


async def test_store_that_is_down_means_not_accepted(bench):
    bench.store.down = True
    refused = await bench.intake.submit(JOB, 'r1')
    assert isinstance(refused.failure(), intake.NotAccepted)
    assert refused.failure().retry_after_s > 0


async def test_store_that_fails_gets_no_further_calls(bench):
    bench.store.down = True
    await bench.intake.submit(JOB, 'r1')
    calls_before = bench.store.calls_by_name['commit']
    for _ in range(3):
        await bench.intake.submit(JOB, 'r1')
    assert bench.store.calls_by_name['commit'] == calls_before
    bench.store.down = False
    await bench.watchdog.timed(bench.store.get('any'))
    assert (await bench.intake.submit(JOB, 'r1')).value_or('failed') is None


async def test_phase_of_unknown_queued_and_ended_jobs(bench):
    unknown = await bench.intake.phase('a')
    assert isinstance(unknown.failure(), intake.NoSuchJob)
    await bench.intake.submit(JOB, 'r1')
    assert (await bench.intake.phase('a')).unwrap() is stored.JobPhase.QUEUED
    progress = stored.Progress(phase=stored.JobPhase.DONE)
    await bench.store.put('progress/a', records.pack(progress), keyvalue.ABSENT)
    assert (await bench.intake.phase('a')).unwrap() is stored.JobPhase.DONE


def test_progress_of_earlier_releases_is_read():
    earlier = [0, 0, 0, 2, [1], False, 'w1', 5, 'c', 'm1', 2.5, [2]]
    progress = msgspec.msgpack.decode(
        msgspec.msgpack.encode(earlier), type=stored.TaskProgress
    )
    assert progress.machine == 'm1'
    assert progress.crashed_attempts == (2,)


def test_jobs_over_their_limits_are_typed_failures():
    step = model.Step(count=1)
    for job in (
        records.replace(JOB, steps=()),
        records.replace(JOB, spec='x' * 4001),
        records.replace(JOB, steps=(model.Step(count=0),)),
        records.replace(JOB, steps=(step, model.Step(count=1, after=(1,)))),
        records.replace(JOB, steps=(model.Step(count=10_001),)),
        records.replace(
            JOB,
            steps=(model.Step(count=1, room=model.Room(processors_m=-1)),),
        ),
        records.replace(JOB, steps=(model.Step(count=1, max_per_worker=-1),)),
        records.replace(JOB, steps=(model.Step(count=1, max_unavailable=-1),)),
        # Sums of such estimates are infinite, and ended each leader's term.
        records.replace(JOB, steps=(model.Step(count=1, estimate_s=1e305),)),
    ):
        assert isinstance(checks.check(job).failure(), checks.JobInvalid)
    assert checks.check(JOB).unwrap() == JOB


load_tests = functions.loader(__name__, {'bench': bench})
