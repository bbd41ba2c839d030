import contextlib
import dataclasses
import io
import pathlib
import tempfile
from collections.abc import AsyncIterator, Sequence
from unittest import mock

import msgspec
from returns import result

from jackdawlatch.command import core, exit_statuses, timeline
from jackdawlatch.model import hosts, presets, records
from jackdawlatch.node import documents
from jackdawlatch.standins import keyvalue_faults, keyvalue_server
from jackdawlatch.testing import functions

CONFIGURATION = presets.Configuration(
    presets_by_name={'ordinary': presets.Preset(name='ordinary')},
    pools_by_name={'spare': presets.Pool(name='spare', spare=True)},
)


@dataclasses.dataclass(frozen=True)
class CommandResult:
    exit_status: exit_statuses.ExitStatus
    stdout: str
    stderr: str


class Shell:
    """Runs command lines in this process against a stand-in of the store."""

    def __init__(self, folder: str, server: keyvalue_server.Server) -> None:
        self.folder = pathlib.Path(folder)
        self.server = server
        self._settings = self.write(
            'operator.json', {'store_addresses': [server.url], 'timeout_s': 0.3}
        )

    def write(self, name: str, content: object) -> str:
        path = self.folder / name
        path.write_bytes(msgspec.json.encode(content))
        return str(path)

    async def run(self, *arguments: str) -> CommandResult:
        return await self.run_without_settings(
            *arguments, '--settings', self._settings
        )

    async def run_without_settings(self, *arguments: str) -> CommandResult:
        streams = (io.StringIO(), io.StringIO())
        exit_status = await core.execute(
            core.Environment(arguments, *streams, variables={})
        )
        return CommandResult(
            exit_status, *(stream.getvalue() for stream in streams)
        )

    async def run_lines(self, lines: Sequence[str]) -> None:
        for line in lines:
            outcome = await self.run(*line.split())
            assert outcome.exit_status is exit_statuses.ExitStatus.OK, (
                outcome.stderr
            )


@contextlib.asynccontextmanager
async def shell() -> AsyncIterator[Shell]:
    server = keyvalue_server.Server()
    with tempfile.TemporaryDirectory() as folder:
        new_shell = Shell(folder, server)
        await new_shell.run_lines(
            [f'config apply {new_shell.write("c.json", CONFIGURATION)}']
        )
        yield new_shell
    await server.close()


async def test_preset_is_created_edited_and_put_in_force(shell: Shell) -> None:
    peak = shell.write('peak.json', presets.Preset(name='peak'))
    await shell.run_lines(
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


async def test_edit_based_on_old_version_is_a_conflict(shell: Shell) -> None:
    await shell.run_lines(['preset edit ordinary queue_limit=5'])
    # No conflict: the preset is in force already, so nothing changes.
    outcome = await shell.run('preset', 'use', 'ordinary', '--based-on', '1')
    assert outcome.exit_status is exit_statuses.ExitStatus.OK
    peak = shell.write('peak.json', presets.Preset(name='peak'))
    outcome = await shell.run('preset', 'put', peak, '--based-on', '1')
    assert outcome.exit_status is exit_statuses.ExitStatus.CONFLICT
    assert outcome.stderr.count('\n') == 1


async def test_invalid_preset_is_refused_with_field_path(shell: Shell) -> None:
    outcome = await shell.run('preset', 'edit', 'ordinary', 'queue_limit=0')
    assert outcome.exit_status is exit_statuses.ExitStatus.USAGE
    assert 'queue_limit' in outcome.stderr
    outcome = await shell.run('preset', 'use', 'nowhere')
    assert outcome.exit_status is exit_statuses.ExitStatus.USAGE
    shown = await shell.run('preset', 'list')
    assert shown.stdout == 'ordinary (in force)\n'


async def test_field_of_a_number_is_refused(shell: Shell) -> None:
    for change in ('queue_limit.x=1', 'queue_limit.x.y=1'):
        outcome = await shell.run('preset', 'edit', 'ordinary', change)
        assert outcome.exit_status is exit_statuses.ExitStatus.USAGE
        assert 'queue_limit' in outcome.stderr


async def test_edit_does_not_rename_an_item(shell: Shell) -> None:
    outcome = await shell.run('preset', 'edit', 'ordinary', 'name=other')
    assert outcome.exit_status is exit_statuses.ExitStatus.USAGE
    shown = await shell.run('preset', 'list')
    assert shown.stdout == 'ordinary (in force)\n'


async def test_timeline_limited_to_no_events_is_empty() -> None:
    client = mock.AsyncMock()
    client.daemons.return_value = (mock.Mock(),)
    client.get.return_value = result.Success((mock.Mock(stamp=1),))
    shown = await timeline.ShowTimeline(limit=0).run(client)
    assert not shown.unwrap().lines


async def test_unknown_policy_is_refused_with_field_name(shell: Shell) -> None:
    for field in ('admission', 'balancing', 'placement'):
        outcome = await shell.run('preset', 'edit', 'ordinary', f'{field}=none')
        assert outcome.exit_status is exit_statuses.ExitStatus.USAGE
        assert field in outcome.stderr


async def test_outage_fails_but_lost_reply_does_not(shell: Shell) -> None:
    injector = shell.server.service.injector
    injector.set(keyvalue_faults.Faults(outage=keyvalue_faults.Outage.REFUSE))
    outcome = await shell.run('preset', 'edit', 'ordinary', 'queue_limit=9')
    assert outcome.exit_status is exit_statuses.ExitStatus.UNAVAILABLE
    injector.set(keyvalue_faults.Faults())
    # The store applies the next write but does not answer it.
    injector.set(keyvalue_faults.Faults(lose_next=1))
    outcome = await shell.run('preset', 'edit', 'ordinary', 'queue_limit=9')
    assert outcome.exit_status is exit_statuses.ExitStatus.OK


async def test_drain_beyond_pool_budget_is_a_conflict(shell: Shell) -> None:
    await shell.run_lines(
        [
            f'pool put {shell.write("pool.json", presets.Pool(name="desk"))}',
            'preset edit ordinary pools_by_name.desk={"hosts":2}',
        ]
    )
    _write_membership(shell.server, 'desk', ('h1', 'h2'))
    await shell.run_lines(['host drain h1'])
    outcome = await shell.run('host', 'drain', 'h2')
    assert outcome.exit_status is exit_statuses.ExitStatus.CONFLICT
    assert 'budget-exceeded' in outcome.stderr
    listed = await shell.run('host', 'list', '--pool', 'desk')
    assert [line.split()[2] for line in listed.stdout.splitlines()] == [
        'draining',
        'active',
    ]


async def test_wave_is_started_halted_and_resumed(shell: Shell) -> None:
    await shell.run_lines(
        [
            f'pool put {shell.write("pool.json", presets.Pool(name="desk"))}',
            'preset edit ordinary pools_by_name.desk={"hosts":2}',
        ]
    )
    _write_membership(shell.server, 'desk', ('h1', 'h2'))
    await shell.run_lines(['wave start w1 --pool desk', 'wave halt w1'])
    assert 'halted' in (await shell.run('wave', 'list')).stdout
    await shell.run_lines(['wave resume w1'])
    assert 'running' in (await shell.run('wave', 'list')).stdout


def _write_membership(
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


async def test_usage_error_is_one_line_with_a_hint(shell: Shell) -> None:
    for line in ('preset unknown', 'preset show', 'status'):
        outcome = await shell.run_without_settings(*line.split())
        assert outcome.exit_status is exit_statuses.ExitStatus.USAGE
        assert outcome.stderr.count('\n') == 1
        assert 'hint' in outcome.stderr


async def test_help_shows_examples(shell: Shell) -> None:
    outcome = await shell.run_without_settings('--help')
    assert outcome.exit_status is exit_statuses.ExitStatus.OK
    assert 'preset use peak' in outcome.stdout


load_tests = functions.loader(__name__, {'shell': shell})
