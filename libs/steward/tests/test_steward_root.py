"""A complete steward run in this process, and its command line."""

import asyncio
import io
import pathlib
import tempfile
from collections.abc import Callable

import steward_fleet
from tornado import testing as tornado_testing

from jackdawlatch.model import clocks
from jackdawlatch.node import launching
from jackdawlatch.steward import core, root, settings
from jackdawlatch.testing import functions


def _address() -> str:
    socket, port = tornado_testing.bind_unused_port()
    socket.close()
    return f'127.0.0.1:{port}'


async def _until(reached: Callable[[], bool]) -> None:
    for _ in range(400):
        if reached():
            return
        await asyncio.sleep(0.05)
    raise AssertionError('not reached')


async def test_steward_acts_explains_and_stops() -> None:
    fleet = steward_fleet.Fleet()
    fleet.store.content = steward_fleet.fakes.FakeStore().content
    fleet.configure('ordinary')
    platform = steward_fleet.Platform(clocks.SystemClock())
    steward = root.Root(
        settings.Steward(
            id='s1',
            zone='z0',
            peer_address=_address(),
            operations_address=_address(),
            store_addresses=('http://127.0.0.1:1',),
            hosts_address='http://127.0.0.1:1',
        ),
        fleet.store,
        platform,
    )
    (await steward.start()).unwrap()
    running = asyncio.create_task(steward.run())
    await _until(fleet.settled)
    await _until(
        lambda: 'active in pool' in str(steward.node.explain('host', 'h00'))
    )
    explained = steward.node.explain('pool', 'desk')[0]
    assert explained.answer.startswith('4 hosts serve, 4 wanted, 0 unavail')
    assert steward.node.details()['pools']['desk']['ready'] == 4
    steward.node.stopping.set()
    await running
    assert not steward.node.failed


def test_check_names_the_missing_field() -> None:
    with tempfile.TemporaryDirectory() as directory:
        file = pathlib.Path(directory) / 'steward.json'
        file.write_text('{"id": "s1", "zone": "z0"}')
        errors = io.StringIO()
        status = core.main(
            launching.Environment(
                ('--check', '--settings', str(file)), io.StringIO(), errors
            )
        )
        assert status is launching.ExitStatus.USAGE
        assert 'missing required field' in errors.getvalue()


load_tests = functions.loader(__name__)
