"""The whole daemon over HTTP, against fakes of the platform."""

import asyncio
import os
import signal

import unified_bench

from jackdawlatch.scheduler import reports
from jackdawlatch.testing import functions, waiting


async def test_job_runs_from_submission_to_end(bench):
    bench.store.write('op/config', unified_bench.standins.manifest())
    await bench.until_ready()
    assert (await bench.call('POST', body=unified_bench.BODY)).status == 200
    await waiting.until(lambda: len(bench.worker.running) == 2)
    await bench.until_state('running')
    assert (await bench.call('POST', body=unified_bench.BODY)).status == 200
    for task in tuple(bench.worker.running):
        bench.worker.end(task, reports.EndKind.DONE)
    await bench.until_state('done')
    assert len(bench.worker.started_runs) == 2
    scraped = await bench.get(bench.metrics)
    assert b'store_calls' in scraped.body


async def test_requests_are_answered_with_matching_status(bench):
    unconfigured = await bench.call('POST', body=unified_bench.BODY)
    assert unconfigured.status == 503
    assert int(unconfigured.headers['Retry-After']) >= 1
    bench.store.write('op/config', unified_bench.standins.manifest())
    await bench.until_ready()
    assert (await bench.call('GET')).status == 410
    assert (await bench.call('DELETE')).status == 410
    assert (await bench.call('GET', '/other/')).status == 404
    assert (
        await bench.call('POST', '/photos/no-id', unified_bench.BODY)
    ).status == 404
    assert (await bench.call('GET', '/photos/')).body == b'{"pending":0}'
    for malformed in ({}, {'steps': []}, {'steps': [{'count': -1}]}):
        assert (await bench.call('POST', body=malformed)).status == 400


async def test_deeply_nested_job_is_refused(bench):
    bench.store.write('op/config', unified_bench.standins.manifest())
    await bench.until_ready()
    nested = b'{"steps":[{"count":1}],"x":%b' % (b'[' * 100_000)
    refused = await bench.send('POST', content=nested)
    assert refused.status == 400
    assert b'body-malformed' in refused.body


async def test_job_with_too_large_integer_is_refused(bench):
    bench.store.write('op/config', unified_bench.standins.manifest())
    await bench.until_ready()
    for field in ('count', 'cpu', 'target-ms', 'max-unavailable'):
        for number in (10**30, -(10**30)):
            body = {'steps': [{'count': 1, field: number}]}
            assert (await bench.call('POST', body=body)).status == 400
    body = {'steps': [{'count': 1}], 'repeat-count': -(10**30)}
    assert (await bench.call('POST', body=body)).status == 400


async def test_job_runs_beside_odd_entries_in_first_scan(odd_bench):
    odd_bench.store.write('op/config', unified_bench.standins.manifest())
    await odd_bench.until_ready()
    await odd_bench.call('POST', body=unified_bench.BODY)
    await waiting.until(lambda: len(odd_bench.worker.running) == 2)


async def test_job_runs_beside_odd_entries_in_watch(bench):
    bench.store.write('op/config', unified_bench.standins.manifest())
    await bench.until_ready()
    await bench.call('POST', body=unified_bench.BODY)
    await waiting.until(lambda: len(bench.worker.running) == 2)
    leader_entry = bench.store.content.get('fleet/leader')
    for key, entry in unified_bench.ODD_ENTRIES.items():
        bench.store.write(key, entry)
    other = '/photos/00000000000000ab'
    await bench.call('POST', other, unified_bench.BODY)
    await waiting.until(lambda: len(bench.worker.running) == 4)
    assert bench.store.content.get('fleet/leader') == leader_entry
    assert not bench.running.done()


async def test_job_is_not_accepted_while_store_refuses(bench):
    bench.store.write('op/config', unified_bench.standins.manifest())
    await bench.until_ready()
    bench.store.down = True
    refused = await bench.call('POST', body=unified_bench.BODY)
    bench.store.down = False
    assert refused.status == 503
    assert 'Retry-After' in refused.headers
    assert bench.store.content.get(f'work/jobs/{unified_bench.JOB}') is None


async def test_daemon_without_store_is_not_ready(bench):
    bench.store.write('op/config', unified_bench.standins.manifest())
    await bench.until_ready()
    bench.store.down = True

    async def unready() -> bool:
        return not await bench.ready()

    await waiting.until(unready)
    bench.store.down = False
    await bench.until_ready()


async def test_cancelled_job_is_stopped(bench):
    bench.store.write('op/config', unified_bench.standins.manifest())
    await bench.until_ready()
    await bench.call('POST', body=unified_bench.BODY)
    await waiting.until(lambda: bench.worker.running)
    assert (await bench.call('DELETE')).status == 200
    await bench.until_state('cancelled')
    await waiting.until(lambda: not bench.worker.running)


async def test_stopping_daemon_answers_but_does_not_lead(bench):
    bench.store.write('op/config', unified_bench.standins.manifest())
    await bench.until_ready()
    await waiting.until(lambda: bench.store.content.get('fleet/leader'))
    os.kill(os.getpid(), signal.SIGTERM)
    await waiting.until(lambda: not bench.store.content.get('fleet/leader'))
    reply = await bench.call('POST', body=unified_bench.BODY)
    assert reply.status == 200
    assert reply.headers['Connection'] == 'close'
    await asyncio.sleep(0.3)
    assert bench.store.content.get('fleet/leader') is None
    await asyncio.wait_for(bench.running, waiting.WAIT_S)


async def test_removed_queue_is_not_found(bench):
    bench.store.write('op/config', unified_bench.standins.manifest())
    await bench.until_ready()
    bench.store.write(
        'op/config', {**unified_bench.standins.manifest(3), 'routes': []}
    )

    async def removed() -> bool:
        return (await bench.call('GET', '/photos/')).status == 404

    await waiting.until(removed)
    bench.store.write('op/config', unified_bench.standins.manifest(2))
    await asyncio.sleep(0.2)
    assert (await bench.call('GET', '/photos/')).status == 404


load_tests = functions.loader(
    __name__,
    {'bench': unified_bench.bench, 'odd_bench': unified_bench.odd_bench},
)
