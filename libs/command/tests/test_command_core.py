import contextlib
import dataclasses
import io
import pathlib
import tempfile
from collections.abc import AsyncIterator, Sequence

import msgspec

from jackdawlatch.command import core, status
from jackdawlatch.model import hosts, presets, records
from jackdawlatch.node import documents
from jackdawlatch.standins import keyvalue_faults, keyvalue_server
from jackdawlatch.testing import functions

ORDINARY = presets.Configuration(
    presets_by_name={'ordinary': presets.Preset(name='ordinary')},
    pools_by_name={'spare': presets.Pool(name='spare', spare=True)},
)


@dataclasses.dataclass(frozen=True)
class Ended:
    status: status.ExitStatus
    stdout: str
    stderr: str


class Shell:
    """Runs command lines in-process against the store's stand-in."""

    def __init__(self, folder: str, server: keyvalue_server.Server) -> None:
        self.folder = pathlib.Path(folder)
        self.server = server
        self._settings = self.file(
            'operator.json', {'store_addresses': [server.url], 'timeout_s': 0.3}
        )

    def file(self, name: str, content: object) -> str:
        path = self.folder / name
        path.write_bytes(msgspec.json.encode(content))
        return str(path)

    async def run(self, *arguments: str) -> Ended:
        return await self.bare(*arguments, '--settings', self._settings)

    async def bare(self, *arguments: str) -> Ended:
        streams = (io.StringIO(), io.StringIO())
        ended = await core.execute(
            core.Environment(arguments, *streams, variables={})
        )
        return Ended(ended, *(stream.getvalue() for stream in streams))

    async def lines(self, lines: Sequence[str]) -> None:
        for line in lines:
            ended = await self.run(*line.split())
            assert ended.status is status.ExitStatus.OK, ended.stderr


@contextlib.asynccontextmanager
async def shell() -> AsyncIterator[Shell]:
    server = keyvalue_server.Server()
    with tempfile.TemporaryDirectory() as folder:
        made = Shell(folder, server)
        await made.lines([f'config apply {made.file("c.json", ORDINARY)}'])
        yield made
    await server.close()


async def test_preset_is_created_edited_and_put_in_force(shell: Shell) -> None:
    peak = shell.file('peak.json', presets.Preset(name='peak'))
    await shell.lines(
        [
            f'preset put {peak}',
            'preset edit peak queue_limit=77',
            'preset use peak',
        ]
    )
    shown = await shell.run('config', 'show', '--json')
    configuration = msgspec.json.decode(
        shown.stdout, type=presets.Configuration
    )
    assert configuration.in_force == 'peak'
    assert configuration.preset.queue_limit == 77


async def test_lost_race_is_a_conflict(shell: Shell) -> None:
    await shell.lines(['preset edit ordinary queue_limit=5'])
    ended = await shell.run('preset', 'use', 'ordinary', '--based-on', '1')
    assert ended.status is status.ExitStatus.OK
    peak = shell.file('peak.json', presets.Preset(name='peak'))
    ended = await shell.run('preset', 'put', peak, '--based-on', '1')
    assert ended.status is status.ExitStatus.CONFLICT
    assert ended.stderr.count('\n') == 1


async def test_bad_preset_is_refused_with_its_path(shell: Shell) -> None:
    ended = await shell.run('preset', 'edit', 'ordinary', 'queue_limit=0')
    assert ended.status is status.ExitStatus.USAGE
    assert 'queue_limit' in ended.stderr
    ended = await shell.run('preset', 'use', 'nowhere')
    assert ended.status is status.ExitStatus.USAGE
    shown = await shell.run('preset', 'list')
    assert shown.stdout == 'ordinary (in force)\n'


async def test_unknown_policy_is_refused(shell: Shell) -> None:
    for field in ('admission', 'balancing', 'placement'):
        ended = await shell.run('preset', 'edit', 'ordinary', f'{field}=none')
        assert ended.status is status.ExitStatus.USAGE
        assert field in ended.stderr


async def test_outage_is_told_apart_from_a_lost_reply(shell: Shell) -> None:
    injector = shell.server.service.injector
    injector.set(keyvalue_faults.Faults(outage=keyvalue_faults.Outage.REFUSE))
    ended = await shell.run('preset', 'edit', 'ordinary', 'queue_limit=9')
    assert ended.status is status.ExitStatus.UNAVAILABLE
    injector.set(keyvalue_faults.Faults())
    injector.set(keyvalue_faults.Faults(lose_next=1))
    ended = await shell.run('preset', 'edit', 'ordinary', 'queue_limit=9')
    assert ended.status is status.ExitStatus.OK


async def test_drains_stay_within_the_budget(shell: Shell) -> None:
    await shell.lines(
        [
            f'pool put {shell.file("pool.json", presets.Pool(name="desk"))}',
            'preset edit ordinary pools_by_name.desk={"hosts":2}',
        ]
    )
    _join(shell.server, 'desk', ('h1', 'h2'))
    await shell.lines(['host drain h1'])
    ended = await shell.run('host', 'drain', 'h2')
    assert ended.status is status.ExitStatus.CONFLICT
    assert 'budget-exceeded' in ended.stderr
    listed = await shell.run('host', 'list', '--pool', 'desk')
    assert [line.split()[2] for line in listed.stdout.splitlines()] == [
        'draining',
        'active',
    ]


async def test_wave_is_started_halted_and_resumed(shell: Shell) -> None:
    await shell.lines(
        [
            f'pool put {shell.file("pool.json", presets.Pool(name="desk"))}',
            'preset edit ordinary pools_by_name.desk={"hosts":2}',
        ]
    )
    _join(shell.server, 'desk', ('h1', 'h2'))
    await shell.lines(['wave start w1 --pool desk', 'wave halt w1'])
    assert 'halted' in (await shell.run('wave', 'list')).stdout
    await shell.lines(['wave resume w1'])
    assert 'running' in (await shell.run('wave', 'list')).stdout


def _join(
    server: keyvalue_server.Server, pool: str, names: Sequence[str]
) -> None:
    active = hosts.Assignment(pool=pool, phase=hosts.Phase.ACTIVE)
    membership = hosts.Membership(
        assignments_by_host=dict.fromkeys(names, active),
        hosts_by_id={
            name: hosts.Host(id=name, zone='z1', rack='r1') for name in names
        },
    )
    key = f'{documents.MEMBERSHIP_PREFIX}main'
    server.service.content.put(key, records.encode(membership), 0, '')


async def test_usage_errors_are_one_line_with_a_hint(shell: Shell) -> None:
    for line in ('preset frob', 'preset show', 'status'):
        ended = await shell.bare(*line.split())
        assert ended.status is status.ExitStatus.USAGE
        assert ended.stderr.count('\n') == 1
        assert 'hint' in ended.stderr


async def test_help_shows_examples(shell: Shell) -> None:
    ended = await shell.bare('--help')
    assert ended.status is status.ExitStatus.OK
    assert 'preset use peak' in ended.stdout


load_tests = functions.loader(__name__, {'shell': shell})
