"""One failing loop or job does not stop the leader."""

import asyncio
from unittest import mock

import scheduler_bench as benches

from jackdawlatch.jobs import stored
from jackdawlatch.scheduler import pools, reports, supervision
from jackdawlatch.testing import functions, waiting


async def test_failing_pools_do_not_end_the_leadership(bench):
    worker = bench.add_worker('w1')
    bench.submit(benches.job())
    error = ValueError('a malformed machine')
    failing = mock.AsyncMock(side_effect=[error, error, error, None])
    with (
        mock.patch.object(pools.Pools, 'run', failing),
        mock.patch.object(supervision, 'RESTART_S', 0.05),
    ):
        async with bench.lead():
            await waiting.until(lambda: worker.running)
            await waiting.until(lambda: failing.await_count > 3)
            worker.end(benches.task(), reports.EndKind.DONE)
            await waiting.until(
                lambda: bench.phase('a') is stored.JobPhase.DONE
            )


async def test_worker_whose_polls_fail_does_not_stop_others(bench):
    faulty, sound = bench.add_worker('w1'), bench.add_worker('w2')
    faulty.status = mock.Mock(side_effect=ValueError('a malformed answer'))
    with mock.patch.object(supervision, 'RESTART_S', 0.01):
        async with bench.lead():
            await waiting.until(
                lambda: faulty.status.call_count > supervision.MAX_FAILURES
            )
            bench.submit(benches.job())
            await waiting.until(lambda: sound.running)
    assert not faulty.started_runs


async def test_loop_that_always_fails_is_given_up():
    failing = mock.AsyncMock(side_effect=ValueError('always'))
    clock = asyncio.get_running_loop().time
    with mock.patch.object(supervision, 'RESTART_S', 0):
        try:
            await supervision.keep_running(failing, clock)
        except ValueError:
            assert failing.await_count == supervision.MAX_FAILURES
        else:
            raise AssertionError('the failure was hidden')


load_tests = functions.loader(__name__, {'bench': benches.bench})
