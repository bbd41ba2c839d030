"""Leaders while other writers leave entries among those of workers and jobs."""

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


load_tests = functions.loader(__name__, {'bench': benches.bench})
