"""Maintenance waves: every host once, rack by rack, zone after zone.

Which hosts a wave drains next is worked out from the value alone, so any
steward continues where another one stopped.
"""

import dataclasses
from collections.abc import Iterator

from jackdawlatch.membership import (
    budget,
    lifecycle,
    places,
    shards,
    transitions,
    wave_edits,
)
from jackdawlatch.model import hosts

FAILED = 'failures eat the budget of {0}'
USED_UP = 'no host can be spared in {0}'


@dataclasses.dataclass(frozen=True)
class Standing:
    """What a wave may do now: drains to start, or why it does not."""

    drains: tuple[lifecycle.Drain, ...]
    reason: str = ''


def plan(
    value: shards.Shard, counts: budget.Counts, now_s: float
) -> tuple[transitions.Transition, ...]:
    """Return the drains that running waves start next, and their reasons.

    A wave goes on in the rack of a pool where it has begun, and starts in
    another rack or zone only once that rack is through.  It starts nothing
    in a pool whose budget is eaten up by failures.  ``counts`` are those of
    the value, and are used up.
    """
    if not value.waves_by_id:
        return ()
    places_by_pool = places.in_work(value, now_s)
    made: list[transitions.Transition] = []
    for wave in sorted(value.waves_by_id.values(), key=_wave_id):
        standing = _standing(wave, value, counts, places_by_pool)
        made.extend(standing.drains)
        if standing.reason != wave.reason:
            made.append(wave_edits.Note(wave.id, standing.reason))
    return tuple(made)


def _wave_id(wave: hosts.Wave) -> str:
    return wave.id


def _standing(
    wave: hosts.Wave,
    value: shards.Shard,
    counts: budget.Counts,
    places_by_pool: dict[str, set[places.Place]],
) -> Standing:
    if wave.halted:
        return Standing((), wave.reason)
    drains: list[lifecycle.Drain] = []
    reasons: list[str] = []
    for pool, candidates in sorted(_candidates(wave, value).items()):
        in_work = places_by_pool.setdefault(pool, set())
        for host in _next_in_pool(candidates, counts.headroom(pool), in_work):
            counts.spend(pool)
            in_work.add(places.place(host))
            drains.append(lifecycle.Drain(host.id, wave.id))
        if counts.headroom(pool) <= 0:
            reasons.append(_reason(pool, counts, in_work))
    return Standing(tuple(drains), ', '.join(filter(None, reasons)))


def _reason(
    pool: str, counts: budget.Counts, in_work: set[places.Place]
) -> str:
    if counts.failed(pool):
        return FAILED.format(pool)
    return '' if in_work else USED_UP.format(pool)


def _candidates(
    wave: hosts.Wave, value: shards.Shard
) -> dict[str, list[hosts.Host]]:
    unknown = frozenset(value.unknown_hosts)
    candidates_by_pool: dict[str, list[hosts.Host]] = {}
    for host in _startable(wave, value):
        if host.id not in unknown:
            pool = value.assignments_by_host[host.id].pool
            candidates_by_pool.setdefault(pool, []).append(host)
    return candidates_by_pool


def _startable(wave: hosts.Wave, value: shards.Shard) -> Iterator[hosts.Host]:
    for host_id in wave.remaining:
        host = value.hosts_by_id[host_id]
        active = value.assignments_by_host[host_id].phase is hosts.Phase.ACTIVE
        if active and host.liveness is hosts.Liveness.LIVE:
            yield host


def _next_in_pool(
    candidates: list[hosts.Host], headroom: int, in_work: set[places.Place]
) -> list[hosts.Host]:
    if headroom <= 0 or len(in_work) > 1:
        return []
    current = next(iter(in_work), None)
    if current is None:
        current = min(places.place(host) for host in candidates)
    in_rack = [host for host in candidates if places.place(host) == current]
    in_rack.sort(key=lambda host: host.id)
    return in_rack[:headroom]
