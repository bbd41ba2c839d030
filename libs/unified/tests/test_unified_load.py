"""Which published forecasts of the load an entry uses."""

import contextlib

import unified_bench

from jackdawlatch.jobs import intake as job_intake
from jackdawlatch.jobs import stored, stored_load
from jackdawlatch.model import clocks, records
from jackdawlatch.scheduler import election
from jackdawlatch.scheduler import observers as sightings
from jackdawlatch.store import keyvalue
from jackdawlatch.telemetry import meters
from jackdawlatch.testing import functions, waiting
from jackdawlatch.unified import observers

LEADER = keyvalue.Entry(
    key=stored.LEADER_KEY,
    value=records.encode(stored.Leader(name='a', records_leases=True)),
    revision=7,
)
LEVEL = stored_load.LoadLevel(0, 0, 40, 60)


class Entry:
    """An observer of the fleet's keys, and the forecast that it uses."""

    def __init__(self) -> None:
        clock = clocks.ManualClock(start_s=10)
        intake = job_intake.Intake(
            job_intake.Dependencies(None, clock, None, meters.Meters('t', 't'))
        )
        self.observer = observers.FleetObserver(
            election.Election(election.Candidate('b', None, clock)),
            intake,
            sightings.LeaseSightings(clock),
        )
        self._load_sightings = intake.load_sightings

    def used(self) -> bool:
        """Whether there is a forecast to decide by."""
        return self._load_sightings.of_service('photo') is not None


@contextlib.contextmanager
def entry():
    yield Entry()


def _load(token: int = LEADER.revision) -> keyvalue.Entry:
    load = stored_load.Load(token=token, levels_by_service={'photo': (LEVEL,)})
    return keyvalue.Entry(
        key=stored.LOAD_KEY, value=records.encode(load), revision=9
    )


def test_forecast_of_unknown_age_is_not_used(entry):
    # A daemon that has started, or was cut off from the store, reads a
    # forecast that may be old.
    entry.observer.reset((LEADER, _load()))
    assert not entry.used()
    entry.observer.change(_load())
    assert entry.used()
    entry.observer.reset((LEADER, _load()))
    assert not entry.used()


def test_forecast_of_a_former_leader_is_not_used(entry):
    entry.observer.reset((LEADER,))
    entry.observer.change(_load())
    assert entry.used()
    entry.observer.change(records.replace(LEADER, deleted=True))
    assert not entry.used()
    entry.observer.change(records.replace(LEADER, revision=11))
    entry.observer.change(_load())
    assert not entry.used()
    entry.observer.change(_load(11))
    assert entry.used()
    entry.observer.reset(())
    entry.observer.change(_load(11))
    assert not entry.used()


def test_malformed_forecast_changes_nothing(entry):
    entry.observer.reset((LEADER,))
    entry.observer.change(records.replace(_load(), value=b'\xc1'))
    assert not entry.used()


async def test_published_forecast_refuses_over_http(bench):
    bench.store.write('op/config', unified_bench.standins.manifest())
    await bench.until_ready()
    await waiting.until(lambda: _refused(bench))
    assert await bench.ready()


async def _refused(bench) -> bool:
    """Publish as the leader, and send a new job."""
    leader = bench.store.content.get(stored.LEADER_KEY)
    if leader is None:
        return False
    load = stored_load.Load(
        token=leader.revision, levels_by_service={'photo': (LEVEL,)}
    )
    bench.store.write(stored.LOAD_KEY, records.encode(load))
    path = f'/photos/{bench.store.content.revision:016x}'
    step = {'count': 2, 'cpu': 500, 'mem-mb': 10, 'estimate-ms': 100}
    reply = await bench.call('POST', path, {'spec': 'x', 'steps': [step]})
    if reply.status != 503:
        return False
    assert 55 <= int(reply.headers['Retry-After']) <= 120
    # Nothing of the job was kept.
    assert (await bench.call('GET', path)).status == 410
    return True


load_tests = functions.loader(
    __name__, {'entry': entry, 'bench': unified_bench.bench}
)
