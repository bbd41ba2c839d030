"""Checks planned work on spare hosts by counting hosts of two versions."""

from jackdawlatch.membership import shards
from jackdawlatch.model import hosts

SPARE = 'spare'
MAX_UNAVAILABLE = 1
WORKING = frozenset((hosts.Phase.DRAINING, hosts.Phase.REBOOTING))


def check(before: shards.Shard, after: shards.Shard, now_s: float) -> None:
    """Check that work started on a spare host leaves its pool in budget.

    Work on a host that has failed costs the pool nothing, so it may start
    beside other work.
    """
    started = under_maintenance(after) - under_maintenance(before)
    if any(not failed(after, host, now_s) for host in started):
        out = {
            host
            for host, where in after.assignments_by_host.items()
            if where.pool == SPARE
            and not where.next_pool
            and not failed(after, host, now_s)
            and not serves(after, host)
        }
        assert len(out) <= MAX_UNAVAILABLE, (started, out)


def under_maintenance(value: shards.Shard) -> set[str]:
    return {
        host
        for host, where in value.assignments_by_host.items()
        if where.pool == SPARE
        and where.wave
        and where.phase in WORKING
        and not where.next_pool
    }


def failed(value: shards.Shard, host: str, now_s: float) -> bool:
    where = value.assignments_by_host[host]
    rebooting = where.phase is hosts.Phase.REBOOTING
    if rebooting and now_s - where.since_s < shards.MAX_REBOOT_S:
        return False
    return value.hosts_by_id[host].liveness is not hosts.Liveness.LIVE


def serves(value: shards.Shard, host: str) -> bool:
    live = value.hosts_by_id[host].liveness is hosts.Liveness.LIVE
    active = value.assignments_by_host[host].phase is hosts.Phase.ACTIVE
    return live and active and host not in value.unknown_hosts
