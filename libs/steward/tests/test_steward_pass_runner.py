"""How a steward handles failures, waves, races and outages."""

import asyncio
import contextlib
from collections.abc import Iterator

import steward_fleet

from jackdawlatch.membership import (
    budget,
    lending,
    lifecycle,
    phases,
    refusals,
    transitions,
)
from jackdawlatch.model import hosts
from jackdawlatch.steward import calls, fleet_client, progress
from jackdawlatch.testing import functions

DESK = 'desk'
SPARE = steward_fleet.SPARE


@contextlib.contextmanager
def fleet() -> Iterator[steward_fleet.Fleet]:
    yield steward_fleet.Fleet()


def _in_pool(fleet: steward_fleet.Fleet, pool: str) -> list[str]:
    return sorted(steward_fleet.serving(fleet.value, pool))


async def test_new_hosts_fill_the_pools() -> None:
    fleet = steward_fleet.Fleet(racks=2, per_rack=6)
    await fleet.settle(passes=3)
    assert fleet.settled()
    for pool in steward_fleet.POOLS:
        racks = [host[1] for host in _in_pool(fleet, pool)]
        assert sorted(racks) == ['0', '0', '1', '1']


async def test_failed_host_is_replaced(fleet: steward_fleet.Fleet) -> None:
    await fleet.settle(passes=3)
    lost = _in_pool(fleet, DESK)[0]
    fleet.platform.fail(lost)
    await fleet.settle(passes=5)
    assert len(_in_pool(fleet, DESK)) == 3
    await fleet.settle(passes=10)
    assert len(_in_pool(fleet, DESK)) == 4
    fleet.platform.recover(lost)
    await fleet.settle(passes=10)
    assert lost in _in_pool(fleet, SPARE)


async def test_racing_stewards_lend_once(fleet: steward_fleet.Fleet) -> None:
    await fleet.settle(passes=3)
    fleet.platform.fail(_in_pool(fleet, DESK)[0])
    fleet.platform.publish()
    await fleet.run()
    limits = budget.Limits.of(fleet.configuration)
    chosen = _in_pool(fleet, SPARE)[:2]
    transfers = [lending.Lend(host, DESK) for host in chosen]
    outcome = transitions.apply_each(fleet.value, transfers, limits, 0)
    assert [refused.host for _, refused in outcome.refused] == chosen[1:]
    extra = _in_pool(fleet, 'courier')
    returns = [lending.Reclaim(host) for host in extra]
    outcome = transitions.apply_each(fleet.value, returns, limits, 0)
    assert not outcome.applied
    kept = lending.Retire(extra[0])
    outcome = transitions.apply_each(fleet.value, [kept], limits, 0)
    assert not outcome.applied


async def test_last_host_of_a_budget(fleet: steward_fleet.Fleet) -> None:
    await fleet.settle(passes=3)
    first, second, *_ = _in_pool(fleet, 'courier')
    rival = steward_fleet.operators.Operators(
        fleet.store, steward_fleet.SHARD, fleet.clock
    )
    drained, refused = await asyncio.gather(
        fleet.operators.drain(first), rival.drain(second)
    )
    assert drained.unwrap().assignments_by_host[first].wave
    assert isinstance(refused.failure(), refusals.BudgetExceeded)


async def test_drain_in_another_zone_is_refused(
    fleet: steward_fleet.Fleet,
) -> None:
    await fleet.settle(passes=3)
    here, *_, there = sorted(_in_pool(fleet, DESK))
    await fleet.operators.drain(here)
    refused = await fleet.operators.drain(there)
    assert isinstance(refused.failure(), refusals.ZoneBusy)


async def test_nothing_starts_while_the_store_is_down(
    fleet: steward_fleet.Fleet,
) -> None:
    await fleet.settle(passes=3)
    host = _in_pool(fleet, DESK)[0]
    await fleet.operators.drain(host)

    async def go_down() -> None:
        fleet.store.down = True

    machine = fleet.platform.machines_by_id[host]
    fleet.platform.fail(_in_pool(fleet, SPARE)[0])
    fleet.platform.publish()
    fleet.platform.before_state = go_down
    await fleet.run(passes=5)
    assert not machine.leaving
    fleet.store.down = False
    fleet.platform.before_state = None
    await fleet.settle(passes=15)
    assert machine.reboots == 1


async def test_steward_with_a_stale_view_makes_no_calls(
    fleet: steward_fleet.Fleet,
) -> None:
    await fleet.settle(passes=3)
    host = _in_pool(fleet, DESK)[0]
    await fleet.operators.drain(host)

    async def overtake() -> None:
        fleet.platform.before_state = None
        await fleet.settle(passes=30, which=1)

    fleet.platform.before_state = overtake
    await fleet.run_pass()
    machine = fleet.platform.machines_by_id[host]
    assert (machine.leaving, machine.reboots) == (False, 1)


async def test_drain_interrupts_no_requests(fleet: steward_fleet.Fleet) -> None:
    await fleet.settle(passes=3)
    host = _in_pool(fleet, DESK)[0]
    machine = fleet.platform.machines_by_id[host]
    machine.in_use = 2
    await fleet.operators.drain(host)
    await fleet.settle(passes=progress.MAX_DRAIN_S // 5 + 5)
    assert (machine.leaving, machine.reboots) == (True, 0)
    last = await fleet.run_pass()
    assert [late.waits_for for late in last.overdue] == [
        '2 requests and 0 tasks'
    ]
    machine.in_use = 0
    await fleet.settle(passes=20)
    assert machine.reboots == 1


async def test_another_steward_continues_a_wave(
    fleet: steward_fleet.Fleet,
) -> None:
    await fleet.settle(passes=3)
    await fleet.operators.start_wave(DESK)
    chosen = _in_pool(fleet, DESK)
    for turn in range(200):
        fleet.platform.publish()
        await fleet.run(step_s=5, which=turn % 2)
    machines = fleet.platform.machines_by_id
    assert [machines[host].reboots for host in chosen] == [1, 1, 1, 1]
    assert fleet.settled()


async def test_wave_halts_while_a_rack_fails(
    fleet: steward_fleet.Fleet,
) -> None:
    await fleet.settle(passes=3)
    value = (await fleet.operators.start_wave('courier', 'w')).unwrap()
    for number in range(4):
        fleet.platform.fail(f'h0{number}')
    fleet.platform.publish()
    await fleet.run()
    wave = fleet.value.waves_by_id['w']
    assert wave.reason == 'failures eat the budget of courier'
    assert wave.remaining == value.waves_by_id['w'].remaining
    await fleet.settle(passes=150)
    assert not fleet.value.waves_by_id['w'].reason


async def test_wave_reports_that_no_host_can_be_spared(
    fleet: steward_fleet.Fleet,
) -> None:
    await fleet.settle(passes=3)
    fleet.configure('ordinary', budget=0)
    await fleet.operators.start_wave(DESK, 'w')
    await fleet.run()
    wave = fleet.value.waves_by_id['w']
    assert wave.reason == 'no host can be spared in desk'


async def test_unknown_hosts_are_unavailable(
    fleet: steward_fleet.Fleet,
) -> None:
    await fleet.settle(passes=3)
    fleet.platform.away = True
    await fleet.run(passes=20, step_s=5)
    host = _first(fleet.value, DESK)
    refused = await fleet.operators.drain(host)
    assert isinstance(refused.failure(), refusals.BudgetExceeded)
    fleet.platform.away = False
    await fleet.run(passes=2)
    assert not fleet.value.unknown_hosts


async def test_unlisted_host_is_unknown_then_forgotten(
    fleet: steward_fleet.Fleet,
) -> None:
    await fleet.settle(passes=10)
    host = _in_pool(fleet, SPARE)[0]
    fleet.platform.publish((host,))
    await fleet.run(passes=20, step_s=5)
    assert fleet.value.unknown_hosts == (host,)
    await fleet.run(passes=120, step_s=5)
    assert host not in fleet.value.hosts_by_id


async def test_overtaken_step_is_refused(fleet: steward_fleet.Fleet) -> None:
    await fleet.settle(passes=3)
    host = _in_pool(fleet, DESK)[0]
    value = (await fleet.operators.move(host, SPARE)).unwrap()
    limits = budget.Limits.of(fleet.configuration)
    draining = hosts.Phase.DRAINING
    stale = phases.Advance(host, draining, fleet.clock.wall_s() - 1)
    refused = transitions.apply_all(value, [stale], limits, 0)
    assert isinstance(refused.failure(), refusals.NotNeeded)
    assert not calls.Reboot(host, draining, stale.since_s).is_due(value)
    again = transitions.apply_all(
        value, [lifecycle.Move(host, DESK)], limits, 0
    )
    assert isinstance(again.failure(), refusals.WrongPhase)


def test_busy_host_is_not_rebooted() -> None:
    where = hosts.Assignment(pool=DESK, phase=hosts.Phase.REBOOTING, wave='w')
    value = steward_fleet.shards.Shard(
        assignments_by_host={'h': where},
        hosts_by_id={'h': hosts.Host(id='h', zone='z', rack='r')},
    )
    for in_use, asked in ((1, 0), (0, 1)):
        state = fleet_client.HostState(leaving=True, in_use=in_use)
        steps = tuple(progress.plan(value, {'h': state}, {}, 1))
        assert len(steps) == asked


async def test_hysteresis_avoids_moves() -> None:
    moves = []
    for policy in ('eager', 'hysteresis'):
        fleet = steward_fleet.Fleet(policy)
        await fleet.settle(passes=3)
        fleet.oracle.moves = 0
        fleet.platform.fail(_in_pool(fleet, DESK)[0])
        await fleet.settle(passes=4)
        fleet.platform.recover(_first(fleet.value, DESK))
        for host in fleet.platform.machines_by_id:
            fleet.platform.recover(host)
        await fleet.settle(passes=10)
        assert fleet.settled()
        moves.append(fleet.oracle.moves)
    assert moves == [2, 0]


async def test_lazy_policy_keeps_a_surplus() -> None:
    sizes = []
    for policy in ('hysteresis', 'lazy'):
        fleet = steward_fleet.Fleet(policy)
        await fleet.settle(passes=3)
        fleet.configure('peak')
        await fleet.settle(passes=15)
        fleet.configure('ordinary')
        await fleet.settle(passes=15)
        sizes.append(len(_in_pool(fleet, DESK)))
    assert sizes == [4, 5]


def _first(value: hosts.Membership, pool: str) -> str:
    return min(steward_fleet.active(value, pool))


load_tests = functions.loader(__name__, {'fleet': fleet})
