import contextlib
import json
import pathlib
import random
import signal
import tempfile
from collections.abc import AsyncIterator

import msgspec
from returns import result

from jackdawlatch.config import validation
from jackdawlatch.model import hosts, presets
from jackdawlatch.settings import loading
from jackdawlatch.standins import (
    deployments,
    driver,
    examples,
    hostlist,
    keyvalue_faults,
    ports,
    processes,
    profiles,
)
from jackdawlatch.store import keyvalue, remote
from jackdawlatch.testing import functions

ROOT = pathlib.Path(__file__).resolve().parents[3]


class Bench:
    def __init__(self, directory: pathlib.Path) -> None:
        self.running = processes.Processes(directory)
        self.ports = ports.Ports(random.Random())
        self.deployment = deployments.build(profiles.BROLLY_ADFER, self.ports)
        self.driver = driver.Driver(self.deployment, self.running, True)
        self.store = remote.RemoteStore(
            self.deployment.operator.store_addresses, timeout_s=1
        )

    def close(self) -> None:
        self.store.close()
        self.driver.close()
        self.ports.close()


@contextlib.asynccontextmanager
async def bench() -> AsyncIterator[Bench]:
    with tempfile.TemporaryDirectory() as directory:
        opened = Bench(pathlib.Path(directory))
        with opened.running:
            yield opened
            opened.close()
        assert all(one.exit_status is not None for one in opened.running)


async def test_paused_store_leaves_writes_uncertain(bench: Bench) -> None:
    (await bench.driver.start(('store',))).unwrap()
    bench.driver.pause('store')
    written = await bench.store.put('k', b'1', 0)
    assert isinstance(written.failure(), keyvalue.Uncertain)
    bench.driver.resume('store')
    found = (await bench.store.get('k')).unwrap()
    # The request waits in the socket and may take effect afterwards.
    assert found is None or found.value == b'1'


async def test_killed_store_is_unavailable(bench: Bench) -> None:
    (await bench.driver.start(('store',))).unwrap()
    bench.driver.kill('store')
    assert bench.running['store'].exit_status == -signal.SIGKILL
    written = await bench.store.put('k', b'1', 0)
    assert isinstance(written.failure(), keyvalue.Unavailable)


async def test_faults_are_set_over_http(bench: Bench) -> None:
    (await bench.driver.start(('store',))).unwrap()
    refusing = keyvalue_faults.Faults(outage=keyvalue_faults.Outage.REFUSE)
    url = bench.deployment.operator.store_addresses[0]
    assert await bench.driver.post(f'{url}/-/faults', refusing)
    assert isinstance(await bench.store.get('k'), result.Failure)


async def test_back_ends_of_a_rack_share_processes(bench: Bench) -> None:
    names = ('hosts', 'runners-rack-1', 'workers-rack-1')
    (await bench.driver.start(names)).unwrap()
    stopped = [await bench.driver.stop(name, 10) for name in names]
    assert stopped == [True, True, True]
    assert [bench.running[name].exit_status for name in names] == [0, 0, 0]


async def test_failed_process_is_reported_with_its_output(bench: Bench) -> None:
    path = bench.running.directory / 'store.json'
    path.write_text('{"port": "many"}')
    failed = await bench.driver.start(('store',), timeout_s=0.1)
    assert isinstance(failed.failure(), driver.NotReady)
    assert bench.running['store'].wait(10)
    assert bench.running['store'].exit_status == 2
    assert '`int`' in bench.running['store'].output_tail()


def test_deployments_have_the_required_size() -> None:
    for profile in profiles.PROFILES_BY_NAME.values():
        deployment = deployments.build(profile, ports.FixedPorts())
        assert len(deployment.hosts.hosts) == 30
        assert {host.zone for host in deployment.hosts.hosts} == set(
            profile.zones
        )
        assert max(len(rack.members) for rack in deployment.racks) == 4
        checked = validation.check(
            profiles.configuration(profile),
            validation.Constraints(fleet_hosts=30),
        )
        assert isinstance(checked, result.Success)


def test_concurrent_runs_share_no_port() -> None:
    # Equal seeds try the same block first.
    held = [ports.Ports(random.Random(1)) for _ in range(3)]
    taken = [one.take() for one in held for _ in range(100)]
    for one in held:
        one.close()
    assert len(set(taken)) == 300


def test_host_that_is_listed_twice_is_refused() -> None:
    host = hosts.Host(id='h1', zone='z1', rack='r1')
    content = msgspec.json.encode({'hosts': [host, host]})
    parsed = loading.parse(content, hostlist.Settings, 'hosts.json')
    assert 'h1 twice' in parsed.failure().message


def test_committed_examples_are_up_to_date() -> None:
    with tempfile.TemporaryDirectory() as directory:
        written = pathlib.Path(directory)
        examples.write(written)
        for path in written.glob('*/*.json'):
            committed = ROOT / 'examples' / path.relative_to(written)
            assert committed.read_bytes() == path.read_bytes(), path.name
            if path.name == 'configuration.json':
                msgspec.convert(
                    json.loads(path.read_bytes()), presets.Configuration
                )


load_tests = functions.loader(__name__, {'bench': bench})
