"""Answers of the intake when writes succeed, fail or lose their reply."""

import contextlib
import os
from unittest import mock

import msgspec
from returns import result

from jackdawlatch.jobs import (
    checks,
    early_cancels,
    intake,
    job_entries,
    model,
    outcomes,
    stored,
)
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
    assert isinstance(submitted.failure(), outcomes.OutcomeUnknown)
    assert bench.store.content.get('work/jobs/a') is not None


async def test_cancelled_job_is_stored_late(bench):
    """Guards against a job that runs after its caller was told there is none."""
    late_write = job_entries.creation(JOB)
    cancelled = await bench.intake.cancel('a', 'r1')
    assert isinstance(cancelled.failure(), outcomes.NoSuchJob)
    bench.clock.advance(early_cancels.LATE_WRITE_S)
    bench.store.content.commit(late_write)
    assert bench.store.content.get('work/jobs/a') is None
    again = await bench.intake.submit(JOB, 'r2')
    assert isinstance(again.failure(), outcomes.NotAccepted)
    assert again.failure().reason == 'cancelled'


async def test_job_stored_during_its_cancel_goes_on(bench):
    async def store_late() -> None:
        bench.store.before_put = None
        bench.store.content.commit(job_entries.creation(JOB))

    bench.store.before_put = store_late
    assert (await bench.intake.cancel('a', 'r1')).value_or('failed') is None
    cancel = bench.store.content.get('work/cancels/a')
    assert cancel is not None
    assert not cancel.lease


async def test_cancels_of_unknown_jobs_fill_the_store(bench):
    for number in range(9):
        await bench.intake.cancel(f'a{number}', 'r')
    assert bench.store.calls_by_name['grant'] == 1
    bench.clock.advance(early_cancels.KEPT_S + 1)
    bench.store.content.expire()
    assert not bench.store.content.scan('work/').entries
    await bench.intake.cancel('a', 'r')
    assert bench.store.content.get('work/cancels/a') is not None


async def test_cancel_is_answered_before_it_is_stored(bench):
    """Without an answer of the store, the job may still be created."""
    for name in ('grant', 'commit'):
        failing = mock.AsyncMock(
            return_value=result.Failure(keyvalue.Unavailable(message='down'))
        )
        with mock.patch.object(bench.store, name, failing):
            cancelled = await bench.intake.cancel('a', 'r')
        assert isinstance(cancelled.failure(), outcomes.NotAccepted)
        await bench.watchdog.timed(bench.store.get('any'))


async def test_store_that_is_down_means_not_accepted(bench):
    bench.store.down = True
    refused = await bench.intake.submit(JOB, 'r1')
    assert isinstance(refused.failure(), outcomes.NotAccepted)
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
    assert isinstance(unknown.failure(), outcomes.NoSuchJob)
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
