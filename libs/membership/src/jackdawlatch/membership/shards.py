"""The stored value of one shard, and what can be read from it."""

import enum

from jackdawlatch.model import hosts, keys

# A planned reboot that lasts longer counts as a failure.
REBOOT_BOUND_S = 600


class Shard(hosts.Membership, frozen=True, kw_only=True):
    """The membership of a shard, with what its stewards keep beside it.

    ``unknown_hosts`` lists, in order, the hosts of which the platform has
    said nothing for too long; ``hosts_by_id`` keeps their last known state.
    """

    unknown_hosts: tuple[str, ...] = ()


class Service(enum.Enum):
    """Whether a host serves, seen from the pool's budget."""

    READY = 'ready'
    PLANNED_OUT = 'planned'
    UNKNOWN = 'unknown'
    FAILED = 'failed'


def key(shard: str) -> str:
    """Return the key of a shard's value in the platform's store."""
    return f'{keys.MEMBERSHIP_PREFIX}{shard}'


def service(
    assignment: hosts.Assignment,
    host: hosts.Host,
    unknown: bool,
    now_s: float,
) -> Service:
    """Return whether a host serves its pool, and if not, why."""
    away = assignment.phase is hosts.Phase.REBOOTING
    if away and now_s - assignment.since_s < REBOOT_BOUND_S:
        return Service.PLANNED_OUT
    if host.liveness is not hosts.Liveness.LIVE:
        return Service.FAILED
    if unknown:
        return Service.UNKNOWN
    if assignment.phase is hosts.Phase.ACTIVE:
        return Service.READY
    return Service.PLANNED_OUT


def services(value: Shard, now_s: float) -> dict[str, Service]:
    """Return for every host whether it serves."""
    unknown = frozenset(value.unknown_hosts)
    return {
        host: service(
            assignment, value.hosts_by_id[host], host in unknown, now_s
        )
        for host, assignment in value.assignments_by_host.items()
    }


def destination(assignment: hosts.Assignment) -> str:
    """Return the pool that a host is in, or moves to."""
    return assignment.next_pool or assignment.pool
