"""Cost of the spare pool: hosts held in reserve, and hosts moved."""

import heapq
from collections.abc import Iterator

from jackdawlatch.membership import sizing, spares
from measure import base, buffer_faults, buffer_fleet

MINUTE_S = 60
SIZES = (0, 1, 2, 3, 4)
POLICIES = (
    ('eager', 0),
    ('hysteresis', 30.0),
    ('hysteresis', 300.0),
    ('hysteresis', 1800.0),
    ('lazy', 300.0),
)


def run(
    spare_hosts: int, policy: tuple[str, float], peaks: bool, seed: int
) -> buffer_fleet.Fleet:
    """Simulate a fleet until its last event; return it with its totals."""
    name, hysteresis_s = policy
    fleet = buffer_fleet.Fleet(
        spare_hosts, spares.POLICIES_BY_NAME[name](hysteresis_s)
    )
    pending = buffer_faults.schedule_events(
        sorted(fleet.hosts_by_id), peaks, seed
    )
    while pending:
        while pending and pending[0][0] <= fleet.now_s:
            _, _, kind, subject = heapq.heappop(pending)
            buffer_faults.apply_event(fleet, kind, subject)
        fleet.step(pending[0][0] if pending else fleet.now_s)
    return fleet


class Buffer(base.Benchmark):
    """Reserved hosts, host moves and shortage, by policy and pool size."""

    name = 'buffer'

    def run(self, seed: int) -> Iterator[base.Table]:
        """Simulate a fleet of 24 hosts, without and with a daily peak."""
        for peaks, title in ((False, 'faults'), (True, 'faults and a peak')):
            yield base.Table(
                title=f'Spare pool under {title}, {buffer_faults.DAYS} days',
                note=(
                    '4 pools of 6 hosts with a budget of 1, racks of 4, '
                    "failures and restarts at the letter's rates for each "
                    'host, racks 25 times as often; a wave over all each 4 '
                    'weeks. A failed host is back after 4 h, a restarted one '
                    'after 3 min, and the list lags 15 s: chosen, not given. '
                    'Peak: one pool wants one host more for 4 h a day.'
                ),
                columns=(
                    'spare hosts',
                    'policy',
                    'buffer cost',
                    'moves a day',
                    'moves a failure',
                    'pool-minutes over budget a day',
                    'host-minutes short a day',
                    'needed by sizing',
                ),
                rows=tuple(
                    _row(size, policy, peaks, seed)
                    for size in SIZES
                    for policy in POLICIES
                ),
            )


def _row(
    size: int, policy: tuple[str, float], peaks: bool, seed: int
) -> tuple[base.Cell, ...]:
    fleet = run(size, policy, peaks, seed)
    totals = fleet.totals
    name, hysteresis_s = policy
    requested = buffer_fleet.configuration('ordinary')
    needed = sizing.size(fleet.shard, requested, sizing.Demand())
    return (  # noqa: WPS227 one cell per column.
        size,
        f'{name} {hysteresis_s:.0f} s' if hysteresis_s else name,
        round(size / len(buffer_fleet.POOLS) / buffer_fleet.HOSTS_PER_POOL, 3),
        round(totals.moves / buffer_faults.DAYS, 2),
        round(totals.moves / totals.failures, 2),
        round(totals.over_budget_s / MINUTE_S / buffer_faults.DAYS, 2),
        round(totals.short_s / MINUTE_S / buffer_faults.DAYS, 1),
        needed.hosts,
    )
