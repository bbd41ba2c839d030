"""Output and exit status of ``config check``, without a network."""

import contextlib
import io
import pathlib
import tempfile
import types
from unittest import mock

import msgspec
from returns import result

from jackdawlatch.command import checking, core, exit_statuses, unified_files
from jackdawlatch.model import presets
from jackdawlatch.store import keyvalue
from jackdawlatch.testing import functions

OK = exit_statuses.ExitStatus.OK
USAGE = exit_statuses.ExitStatus.USAGE
UNAVAILABLE = exit_statuses.ExitStatus.UNAVAILABLE
ROUTE = types.MappingProxyType(
    {
        'name': 'photos',
        'hostname': 'host.example',
        'prefix': '/photos/',
        'type': 'mutating',
        'service': 'photo',
    }
)
UNIFIED = types.MappingProxyType(
    {
        'version': 4,
        'routes': [ROUTE],
        'services': [{'name': 'photo'}],
        'limits': {'max-body-bytes': 262144},
        'tenants': [
            {
                'name': 'alpha',
                'api-keys': ['alpha-secret'],
                'priority': 1,
                'max-count': {'cpu': 500},
            }
        ],
    }
)
SPARE = presets.Pool(name='spare', spare=True)
OWN = presets.Configuration(
    version=3,
    presets_by_name={'ordinary': presets.Preset(name='ordinary')},
    pools_by_name={'spare': SPARE},
)


class Shell:
    """Checks files without settings."""

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)

    def write(self, name, content):
        path = self.folder / name
        path.write_bytes(msgspec.json.encode(content, enc_hook=dict))
        return str(path)

    async def check(self, content, *arguments):
        file = self.write('new.json', content)
        streams = (io.StringIO(), io.StringIO())
        status = await core.execute(
            core.Environment(
                ('config', 'check', file, *arguments), *streams, variables={}
            )
        )
        return status, ''.join(stream.getvalue() for stream in streams)


@contextlib.contextmanager
def shell():
    with tempfile.TemporaryDirectory() as folder:
        yield Shell(folder)


async def test_sound_file_passes_and_shows_its_changes(shell):
    in_force = shell.write('old.json', {**UNIFIED, 'version': 3, 'routes': []})
    status, text = await shell.check(
        UNIFIED, '--in-force', in_force, '--json', '--strict'
    )
    assert status is OK
    report = msgspec.json.decode(text)
    assert report['version_in_force'] == 3
    assert not report['findings']
    assert [one['path'] for one in report['differences']] == ['routes.photos']


async def test_errors_fail_and_keys_are_not_printed(shell):
    team = {'name': 'beta', 'api-keys': ['alpha-secret']}
    in_force = shell.write('old.json', UNIFIED)
    status, text = await shell.check(
        {**UNIFIED, 'tenants': [*UNIFIED['tenants'], team]},
        '--in-force',
        in_force,
    )
    assert status is USAGE
    assert 'error: version: 4 is not above 4' in text
    assert "error: tenants[1]: 'beta' has key 'alph...' of 'alpha'" in text
    assert '+ tenants.beta.keys: alph...' in text
    assert 'secret' not in text


async def test_unknown_field_is_reported_with_its_path(shell):
    for field, status, severity in (
        ('max-atempts', USAGE, 'error'),
        ('colour', OK, 'warning'),
    ):
        content = {**UNIFIED, 'routes': [{**ROUTE, field: 1}]}
        found, text = await shell.check(content)
        assert found is status
        assert f'{severity}: routes[0].{field}: unknown field' in text
        assert (await shell.check(content, '--strict'))[0] is USAGE


async def test_malformed_field_is_reported_with_its_path(shell):
    content = {**UNIFIED, 'routes': [{**ROUTE, 'priority': 'high'}]}
    status, text = await shell.check(content)
    assert status is USAGE
    assert 'error: routes[0].priority: Expected `int`' in text


async def test_sample_jobs_are_compared_with_quotas(shell):
    steps = [{'count': 1, 'cpu': 600, 'mem-mb': 10}]
    sample = {'queue': 'photos', 'job': {'steps': steps}}
    jobs = shell.write('jobs.json', {'jobs': [sample, sample]})
    status, text = await shell.check(UNIFIED, '--jobs', jobs, '--strict')
    assert status is USAGE
    # Equal sample jobs are reported once.
    assert text.count("tenants[0]: the quota of 'alpha' is below") == 1
    absent = {**sample, 'queue': 'videos', 'team': 'gamma'}
    jobs = shell.write('jobs.json', {'jobs': [absent]})
    _, text = await shell.check(UNIFIED, '--jobs', jobs)
    assert '2 warnings' in text


async def test_version_in_force_is_read_from_the_store(shell):
    entry = keyvalue.Entry(
        key='',
        value=msgspec.json.encode(dict(UNIFIED), enc_hook=dict),
        revision=7,
    )
    entry = msgspec.structs.replace(
        entry, key=unified_files.operator.CONFIG_KEY
    )
    unavailable = keyvalue.Unavailable(message='no answer')
    for stored, status, shown in (
        (result.Success(entry), USAGE, '4 is not above 4'),
        (result.Success(None), OK, '+ routes.photos'),
        (result.Failure(unavailable), UNAVAILABLE, 'no answer'),
    ):
        reader = mock.Mock(get=mock.AsyncMock(return_value=stored))
        with mock.patch.object(
            unified_files.store, 'PlatformStore', return_value=reader
        ):
            found, text = await shell.check(UNIFIED, '--store', 'localhost:1')
        assert found is status
        assert shown in text


async def test_operators_file_lists_all_errors_and_unused(shell):
    desk = presets.Pool(name='desk')
    service = presets.Service(name='news', pool='absent', slots_per_host=90)
    content = msgspec.structs.replace(
        OWN,
        in_force='peak',
        pools_by_name={'spare': SPARE, 'desk': desk},
        services_by_name={'news': service},
    )
    in_force = shell.write('old.json', OWN)
    status, text = await shell.check(content, '--in-force', in_force)
    assert status is USAGE
    for line in (
        'error: in_force: expected one of ordinary',
        'error: services_by_name.news.pool: expected one of',
        'warning: services_by_name.news.slots_per_host: above',
        'warning: pools_by_name.desk: no service uses this pool',
        'warning: presets_by_name.ordinary.pools_by_name.absent: no hosts',
        'differences from version 3',
        '~ in_force: "ordinary" -> "peak"',
        '2 errors, 3 warnings',
    ):
        assert line in text, line
    status, text = await shell.check({'in_force': 'peak', 'unknown': 1})
    assert status is USAGE
    assert 'unknown' in text
    assert (await shell.check(OWN, '--strict'))[0] is OK
    assert (await shell.check(OWN, '--jobs', in_force))[0] is USAGE


async def test_operators_file_is_compared_with_the_store(shell):
    file = pathlib.Path(shell.write('new.json', presets.Configuration()))
    with mock.patch.object(
        checking.editing,
        'read_configuration',
        mock.AsyncMock(return_value=result.Success(OWN)),
    ):
        outcome = await checking.CheckFile(file).run(mock.Mock())
    report = outcome.unwrap()
    # Once there is a preset, one must stay in force.
    assert report.exit_status is USAGE
    assert report.content.version_in_force == 3


load_tests = functions.loader(__name__, {'shell': shell})
