"""Events that describe what changed between two values of a shard."""

from collections.abc import Iterator

from jackdawlatch.membership import shards
from jackdawlatch.model import hosts
from jackdawlatch.telemetry import events


def events_between(
    before: shards.Shard, after: shards.Shard
) -> Iterator[events.Event]:
    """Yield an event for each change of a host or a wave."""
    if before is after:
        return
    yield from _hosts(before, after)
    gone = before.hosts_by_id.keys() - after.hosts_by_id.keys()
    for host in sorted(gone):
        pool = before.assignments_by_host[host].pool
        yield events.Event(name='host-removed', host=host, pool=pool)
    unknown = frozenset(after.unknown_hosts) - frozenset(before.unknown_hosts)
    for host in sorted(unknown):
        yield events.Event(name='host-unknown', host=host)
    for wave in after.waves_by_id.values():
        if wave != before.waves_by_id.get(wave.id):
            yield _wave(wave)


def reasons(assignment: hosts.Assignment) -> str:
    """Return why a host is in its phase: its next pool and its wave."""
    reasons = []
    if assignment.next_pool:
        reasons.append(f'moves to {assignment.next_pool}')
    if assignment.wave:
        reasons.append(f'wave {assignment.wave}')
    return ', '.join(reasons)


def _hosts(before: shards.Shard, after: shards.Shard) -> Iterator[events.Event]:
    for host, now in after.assignments_by_host.items():
        if now != before.assignments_by_host.get(host):
            yield events.Event(
                name=f'host-{now.phase}',
                host=host,
                pool=now.pool,
                detail=reasons(now),
            )
        known = before.hosts_by_id.get(host)
        liveness = after.hosts_by_id[host].liveness
        if known is not None and known.liveness is not liveness:
            yield events.Event(
                name=f'host-{liveness}', host=host, pool=now.pool
            )


def _wave(wave: hosts.Wave) -> events.Event:
    done, left = len(wave.done), len(wave.remaining)
    return events.Event(
        name='wave-halted' if wave.reason else 'wave-progress',
        pool=wave.pool,
        detail=f'{wave.id}: {done} done, {left} left {wave.reason}'.rstrip(),
    )
