"""Maintenance waves: each host is drained once, rack by rack, zone by zone.

The hosts that a wave drains next follow from the stored value alone, so any
steward can continue a wave that another one began.
"""

import dataclasses
from collections.abc import Iterator

from jackdawlatch.membership import (
    budget,
    lifecycle,
    locations,
    shards,
    transitions,
    wave_changes,
)
from jackdawlatch.model import hosts

# The reasons are stored with a wave.
BLOCKED_BY_FAILURES = 'failures eat the budget of {0}'
NO_DRAIN_ALLOWED = 'no host can be spared in {0}'


@dataclasses.dataclass(frozen=True)
class WavePlan:
    """The drains that a wave starts now, and why it starts no more."""

    drains: tuple[lifecycle.Drain, ...]
    reason: str = ''


def plan(
    value: shards.Shard, counts: budget.Counts, now_s: float
) -> tuple[transitions.Transition, ...]:
    """Return the drains that waves start next, and changes of their reasons.

    In each pool a wave completes the rack that it has begun before it starts
    another rack or zone.  It starts nothing in a pool whose budget is used
    up by failures.  ``counts`` are those of the value; the drains planned
    here are added to them.
    """
    if not value.waves_by_id:
        return ()
    racks_by_pool = locations.racks_under_maintenance(value, now_s)
    changes: list[transitions.Transition] = []
    for wave in sorted(value.waves_by_id.values(), key=_wave_id):
        wave_plan = _plan_wave(wave, value, counts, racks_by_pool)
        changes.extend(wave_plan.drains)
        if wave_plan.reason != wave.reason:
            changes.append(wave_changes.SetReason(wave.id, wave_plan.reason))
    return tuple(changes)


def _wave_id(wave: hosts.Wave) -> str:
    return wave.id


def _plan_wave(
    wave: hosts.Wave,
    value: shards.Shard,
    counts: budget.Counts,
    racks_by_pool: dict[str, set[locations.Location]],
) -> WavePlan:
    if wave.halted:
        return WavePlan((), wave.reason)
    drains: list[lifecycle.Drain] = []
    reasons: list[str] = []
    for pool, candidates in sorted(_candidates(wave, value).items()):
        racks_in_progress = racks_by_pool.setdefault(pool, set())
        for host in _next_in_pool(
            candidates, counts.headroom(pool), racks_in_progress
        ):
            counts.count_planned_drain(pool)
            racks_in_progress.add(locations.location(host))
            drains.append(lifecycle.Drain(host.id, wave.id))
        if counts.headroom(pool) <= 0:
            reasons.append(_reason(pool, counts, racks_in_progress))
    return WavePlan(tuple(drains), ', '.join(filter(None, reasons)))


def _reason(
    pool: str, counts: budget.Counts, racks_in_progress: set[locations.Location]
) -> str:
    if counts.failed(pool):
        return BLOCKED_BY_FAILURES.format(pool)
    return '' if racks_in_progress else NO_DRAIN_ALLOWED.format(pool)


def _candidates(
    wave: hosts.Wave, value: shards.Shard
) -> dict[str, list[hosts.Host]]:
    unknown = frozenset(value.unknown_hosts)
    candidates_by_pool: dict[str, list[hosts.Host]] = {}
    for host in _drainable_hosts(wave, value):
        if host.id not in unknown:
            pool = value.assignments_by_host[host.id].pool
            candidates_by_pool.setdefault(pool, []).append(host)
    return candidates_by_pool


def _drainable_hosts(
    wave: hosts.Wave, value: shards.Shard
) -> Iterator[hosts.Host]:
    for host_id in wave.remaining:
        host = value.hosts_by_id[host_id]
        active = value.assignments_by_host[host_id].phase is hosts.Phase.ACTIVE
        if active and host.liveness is hosts.Liveness.LIVE:
            yield host


def _next_in_pool(
    candidates: list[hosts.Host],
    headroom: int,
    racks_in_progress: set[locations.Location],
) -> list[hosts.Host]:
    if headroom <= 0 or len(racks_in_progress) > 1:
        return []
    current_rack = next(iter(racks_in_progress), None)
    if current_rack is None:
        current_rack = min(locations.location(host) for host in candidates)
    in_rack = [
        host for host in candidates if locations.location(host) == current_rack
    ]
    in_rack.sort(key=lambda host: host.id)
    return in_rack[:headroom]
