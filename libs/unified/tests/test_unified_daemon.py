"""The whole daemon against stand-ins of the platform, over HTTP."""

import asyncio
import os
import signal

import unified_bench as benches

from jackdawlatch.scheduler import reports
from jackdawlatch.testing import functions, waiting


async def test_job_is_served_from_end_to_end(bench):
    bench.store.write('op/config', benches.standins.manifest())
    await bench.until_ready()
    assert (await bench.call('POST', body=benches.BODY)).status == 200
    await waiting.until(lambda: len(bench.worker.running) == 2)
    await bench.until_state('running')
    assert (await bench.call('POST', body=benches.BODY)).status == 200
    for task in tuple(bench.worker.running):
        bench.worker.end(task, reports.EndKind.DONE)
    await bench.until_state('done')
    assert len(bench.worker.begun) == 2
    scraped = await bench.get(bench.metrics)
    assert b'store_calls' in scraped.body


async def test_callers_are_told_what_became_of_their_request(bench):
    unconfigured = await bench.call('POST', body=benches.BODY)
    assert unconfigured.status == 503
    assert int(unconfigured.headers['Retry-After']) >= 1
    bench.store.write('op/config', benches.standins.manifest())
    await bench.until_ready()
    assert (await bench.call('GET')).status == 410
    assert (await bench.call('DELETE')).status == 410
    assert (await bench.call('GET', '/other/')).status == 404
    assert (
        await bench.call('POST', '/photos/no-id', benches.BODY)
    ).status == 404
    assert (await bench.call('GET', '/photos/')).body == b'{"pending":0}'
    for malformed in ({}, {'steps': []}, {'steps': [{'count': -1}]}):
        assert (await bench.call('POST', body=malformed)).status == 400


async def test_store_that_refuses_means_not_accepted(bench):
    bench.store.write('op/config', benches.standins.manifest())
    await bench.until_ready()
    bench.store.down = True
    refused = await bench.call('POST', body=benches.BODY)
    bench.store.down = False
    assert refused.status == 503
    assert 'Retry-After' in refused.headers
    assert bench.store.content.get(f'work/jobs/{benches.JOB}') is None


async def test_daemon_without_its_store_is_not_ready(bench):
    bench.store.write('op/config', benches.standins.manifest())
    await bench.until_ready()
    bench.store.down = True

    async def unready() -> bool:
        return not await bench.ready()

    await waiting.until(unready)
    bench.store.down = False
    await bench.until_ready()


async def test_cancelled_job_is_stopped_and_shown(bench):
    bench.store.write('op/config', benches.standins.manifest())
    await bench.until_ready()
    await bench.call('POST', body=benches.BODY)
    await waiting.until(lambda: bench.worker.running)
    assert (await bench.call('DELETE')).status == 200
    await bench.until_state('cancelled')
    await waiting.until(lambda: not bench.worker.running)


async def test_stopping_daemon_answers_and_leads_no_more(bench):
    bench.store.write('op/config', benches.standins.manifest())
    await bench.until_ready()
    await waiting.until(lambda: bench.store.content.get('fleet/leader'))
    os.kill(os.getpid(), signal.SIGTERM)
    await waiting.until(lambda: not bench.store.content.get('fleet/leader'))
    answered = await bench.call('POST', body=benches.BODY)
    assert answered.status == 200
    assert answered.headers['Connection'] == 'close'
    await asyncio.sleep(0.3)
    assert bench.store.content.get('fleet/leader') is None
    await asyncio.wait_for(bench.running, waiting.WAIT_S)


async def test_dropped_queue_is_not_found(bench):
    bench.store.write('op/config', benches.standins.manifest())
    await bench.until_ready()
    bench.store.write(
        'op/config', {**benches.standins.manifest(3), 'routes': []}
    )

    async def dropped() -> bool:
        return (await bench.call('GET', '/photos/')).status == 404

    await waiting.until(dropped)
    bench.store.write('op/config', benches.standins.manifest(2))
    await asyncio.sleep(0.2)
    assert (await bench.call('GET', '/photos/')).status == 404


load_tests = functions.loader(__name__, {'bench': benches.bench})
