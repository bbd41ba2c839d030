"""Keys of teams over HTTP, against fakes of the platform."""

import asyncio
import re
import types
from unittest import mock

import unified_bench

from jackdawlatch.jobs import model, stored
from jackdawlatch.model import records
from jackdawlatch.testing import functions, waiting
from jackdawlatch.unified import root

ALPHA = types.MappingProxyType(
    {'name': 'alpha', 'api-keys': ['key-1', 'key-2'], 'weight': 5}
)


EXPECTED_LINES = frozenset(
    (
        'configuration_version{} 7.0',
        'team_held{resource="processors_m",team="alpha"} 500.0',
        'team_limit{resource="processors_m",team="alpha"} 500.0',
        'team_waiting_tasks{resource="tasks",team="alpha"} 1.0',
        'team_refusals_total{reason="key-unknown",team="unknown"} 1.0',
    )
)


async def test_call_without_a_valid_key_is_refused(bench):
    _configure(bench, 1, ALPHA)
    await bench.until_ready()
    for key in (None, 'key-3', 'Bearer'):
        for method in ('POST', 'GET', 'DELETE'):
            assert (await _call(bench, method, key)).status == 401
    stored = bench.store.content.get(f'work/jobs/{unified_bench.JOB}')
    assert stored is None
    assert (await _call(bench, 'POST', 'key-2')).status == 200
    assert (await _call(bench, 'GET', 'key-1')).status == 200


async def test_removed_key_is_refused_and_added_one_accepted(bench):
    _configure(bench, 1, ALPHA)
    await bench.until_ready()
    assert (await _call(bench, 'POST', 'key-1')).status == 200
    _configure(bench, 3, {**ALPHA, 'api-keys': ['key-9']})
    await _until_status(bench, 'key-9', 200)
    # The job goes on, but its key can't be used any more.
    assert (await _call(bench, 'POST', 'key-1')).status == 401
    _configure(bench, 2, ALPHA)
    _configure(bench, 4, {**ALPHA, 'api-keys': []})
    await _until_status(bench, 'key-9', 401)
    assert (await _call(bench, 'GET', 'key-1')).status == 401


async def test_no_key_is_refused_while_store_is_away(bench):
    _configure(bench, 1, ALPHA)
    await bench.until_ready()
    bench.store.down = True
    # A newer configuration, which this daemon can't read, may hold the key.
    await _until_status(bench, 'key-9', 503)


async def test_open_queue_and_no_teams_need_no_key(bench):
    _configure(bench, 1, ALPHA, no_auth=True)
    await bench.until_ready()
    assert (await _call(bench, 'GET', None)).status == 410
    bench.store.write(
        'op/config', {**unified_bench.standins.manifest(), 'version': 2}
    )
    assert (await _call(bench, 'GET', 'any')).status == 410


async def test_resent_job_stays_with_its_team(bench):
    _configure(bench, 1, ALPHA, {'name': 'beta', 'api-keys': ['key-b']})
    await bench.until_ready()
    for key in ('key-1', 'key-b'):
        assert (await _call(bench, 'POST', key)).status == 200
    entry = bench.store.content.get(f'work/jobs/{unified_bench.JOB}')
    job = records.decode(entry.value, model.Job)
    assert (job.team, job.version) == ('alpha', 1)


async def test_daemon_without_configuration_does_not_lead(bench):
    """Guards against a leader that knows no team when it reads the jobs."""
    with mock.patch.object(root, 'CONFIGURATION_WAIT_S', 60, create=True):
        # Longer than a vacant leadership lasts.
        await asyncio.sleep(1)
        assert bench.store.content.get(stored.LEADER_KEY) is None
        _configure(bench, 1, ALPHA)
        await waiting.until(lambda: bench.store.content.get(stored.LEADER_KEY))


async def test_metrics_name_team_version_and_reason(bench):
    limited = {**ALPHA, 'max-count': {'cpu': 500}}
    _configure(bench, 7, limited)
    await bench.until_ready()
    await _call(bench, 'POST', 'key-1')
    await _call(bench, 'GET', 'key-9')

    async def shown() -> bool:
        exposition = (await bench.get(bench.metrics)).body.decode()
        lines = re.sub(r'otel_\w+="[^"]*",?', '', exposition).splitlines()
        # One of the two tasks runs, and the quota blocks the other.
        return set(lines) >= EXPECTED_LINES

    await waiting.until(shown)


def _configure(bench, version, *teams, no_auth=False) -> None:
    manifest = unified_bench.standins.manifest()
    routes = [{**route, 'no-auth': no_auth} for route in manifest['routes']]
    bench.store.write(
        'op/config',
        {
            **manifest,
            'version': version,
            'routes': routes,
            'tenants': [dict(team) for team in teams],
        },
    )


async def _call(bench, method, key):
    headers = () if key is None else (('Authorization', f'Bearer {key}'),)
    body = unified_bench.BODY if method == 'POST' else None
    return await bench.call(method, body=body, headers=headers)


async def _until_status(bench, key, status) -> None:
    async def reached() -> bool:
        return (await _call(bench, 'GET', key)).status == status

    await waiting.until(reached)


load_tests = functions.loader(__name__, {'bench': unified_bench.bench})
