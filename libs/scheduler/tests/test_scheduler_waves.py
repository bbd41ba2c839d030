"""Maintenance and stops on machines whose worker is not registered."""

import asyncio

import scheduler_bench as benches

from jackdawlatch.scheduler import waves
from jackdawlatch.testing import functions, waiting

WAVE_S = 9


async def test_wave_vacates_worker_without_registration(bench):
    """It may be cut off from the store only, and run on."""
    worker = bench.add_worker('w1')
    bench.submit(benches.job(count=2, lasting=True, max_unavailable=1))
    fleet = bench.workers.by_id
    async with bench.lead() as leader:
        await waiting.until(lambda: len(worker.running) == 2)
        bench.remove_worker('w1')
        bench.add_worker('w2')
        leader.waves.add(waves.Wave(1, ('m-w1',), WAVE_S, 1))
        min_serving = 2
        async with asyncio.timeout(waiting.WAIT_S):
            while not bench.machines.maintained:
                serving = sum(len(one.running) for one in fleet.values())
                min_serving = min(min_serving, serving)
                await asyncio.sleep(0.001)
    assert not worker.running
    assert min_serving == 1


async def test_run_without_registration_is_stopped(bench):
    worker = bench.add_worker('w1')
    bench.submit(benches.job(lasting=True))
    async with bench.lead() as leader:
        await waiting.until(lambda: worker.running)
        known = leader.cluster.workers_by_id['w1']
        bench.remove_worker('w1')
        await waiting.until(lambda: not known.registered)
        bench.cancel('a')
        await waiting.until(lambda: not worker.running)


load_tests = functions.loader(__name__, {'bench': benches.bench})
