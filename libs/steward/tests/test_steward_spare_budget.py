"""Planned work on spare hosts stays within the budget of their pool."""

import contextlib
from collections.abc import Iterator

import spare_checks
import steward_fleet

from jackdawlatch.membership import refusals, shards
from jackdawlatch.model import hosts, records
from jackdawlatch.testing import functions

FIRST, SECOND = 'h22', 'h23'
WAVE = 'wave'


@contextlib.contextmanager
def fleet() -> Iterator[steward_fleet.Fleet]:
    yield steward_fleet.Fleet()


async def test_dead_spare_host_is_drained_beside_a_reboot(
    fleet: steward_fleet.Fleet,
) -> None:
    await fleet.settle(passes=3)
    await fleet.operators.drain(FIRST)
    fleet.platform.fail(FIRST)
    fleet.platform.fail(SECOND)
    await fleet.settle(passes=2)
    drained = await fleet.operators.drain(SECOND)
    assigned = drained.unwrap().assignments_by_host
    assert assigned[FIRST].phase is hosts.Phase.REBOOTING
    assert assigned[SECOND].phase is hosts.Phase.DRAINING
    fleet.oracle.check()


async def test_live_spare_host_is_not_drained_beside_another(
    fleet: steward_fleet.Fleet,
) -> None:
    await fleet.settle(passes=3)
    await fleet.operators.drain(FIRST)
    refused = await fleet.operators.drain(SECOND)
    assert isinstance(refused.failure(), refusals.BudgetExceeded)


async def test_check_finds_two_live_spare_hosts_out(
    fleet: steward_fleet.Fleet,
) -> None:
    await fleet.settle(passes=3)
    before = fleet.value
    one = _drained(before, FIRST)
    assert _passes(before, one)
    assert not _passes(one, _drained(one, SECOND))
    assert not _passes(before, _drained(one, SECOND))


async def test_check_counts_unknown_spare_hosts(
    fleet: steward_fleet.Fleet,
) -> None:
    await fleet.settle(passes=3)
    before = records.replace(fleet.value, unknown_hosts=(SECOND,))
    assert _passes(before, _drained(before, SECOND))
    assert not _passes(before, _drained(before, FIRST))


def _drained(value: shards.Shard, host: str) -> shards.Shard:
    drained = records.replace(
        value.assignments_by_host[host],
        phase=hosts.Phase.DRAINING,
        wave=WAVE,
    )
    return records.replace(
        value,
        assignments_by_host={**value.assignments_by_host, host: drained},
    )


def _passes(before: shards.Shard, after: shards.Shard) -> bool:
    try:
        spare_checks.check(before, after, now_s=0)
    except AssertionError:
        return False
    return True


load_tests = functions.loader(__name__, {'fleet': fleet})
