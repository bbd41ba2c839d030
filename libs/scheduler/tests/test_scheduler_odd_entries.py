"""Leaders while other writers leave entries among those of workers and jobs."""

import functools
import unittest

import scheduler_bench as benches

from jackdawlatch.testing import functions, waiting

WORKER_KEY = 'workers/odd'
JOB_KEY = 'work/jobs/odd'
# The directory of the bench raises an exception for it.
ODD = b'\xff'


async def test_leader_starts_with_odd_entry_in_first_scan(bench):
    bench.put(WORKER_KEY, ODD)
    bench.put(JOB_KEY, ODD)
    worker = bench.add_worker('w1')
    bench.submit(benches.job())
    async with bench.lead():
        await waiting.until(lambda: worker.running)


async def test_leadership_outlasts_odd_entry_in_watch(bench):
    worker = bench.add_worker('w1')
    bench.submit(benches.job())
    async with bench.lead():
        await waiting.until(lambda: worker.running)
        bench.put(WORKER_KEY, ODD)
        bench.put(JOB_KEY, ODD)
        second = bench.add_worker('w2')
        bench.submit(benches.job('b', count=6))
        await waiting.until(
            lambda: len(worker.running) + len(second.running) == 7
        )


async def test_worker_whose_entry_turns_odd_gets_no_new_runs(bench):
    worker = bench.add_worker('w1')
    bench.submit(benches.job())
    async with bench.lead() as leader:
        await waiting.until(lambda: worker.running)
        known = leader.cluster.workers_by_id['w1']
        bench.put('workers/w1', b'unknown')
        await waiting.until(lambda: not known.registered)
        bench.submit(benches.job('b'))
        second = bench.add_worker('w2')
        await waiting.until(lambda: second.running)
        assert worker.running
        bench.add_entry(worker.entry)
        await waiting.until(lambda: known.usable)
    assert len(worker.started_runs) == 1


async def test_invalid_worker_entry_is_logged_once(bench):
    worker = bench.add_worker('w1')
    logged = unittest.TestCase().assertLogs('absl', 'INFO')
    with logged:
        async with bench.lead() as leader:
            for number in range(3):
                bench.put('workers/odd', b'unknown')
                name = f'w-{number}'
                bench.add_worker(name)
                await waiting.until(functools.partial(_is_known, leader, name))
    lines = [line for line in logged.watcher.output if 'workers/odd' in line]
    assert len(lines) == 1
    assert worker.token


def _is_known(leader, name):
    return name in leader.cluster.workers_by_id


load_tests = functions.loader(__name__, {'bench': benches.bench})
