"""The stored value of one shard, and the availability of its hosts."""

import enum

from jackdawlatch.model import hosts, keys

# A planned reboot that lasts longer counts as a failure.
MAX_REBOOT_S = 600


class Shard(hosts.Membership, frozen=True, kw_only=True):
    """The membership of a shard, with state that only its stewards use.

    ``unknown_hosts`` lists, sorted, the ids of hosts that the platform's
    list has not named for too long; ``hosts_by_id`` keeps their last known
    state.
    """

    unknown_hosts: tuple[str, ...] = ()


class Availability(enum.Enum):
    """Whether a host serves its pool, or why it does not."""

    READY = 'ready'
    PLANNED_OUT = 'planned'
    UNKNOWN = 'unknown'
    FAILED = 'failed'


def key(shard: str) -> str:
    """Return the key of a shard's value in the platform's store."""
    return f'{keys.MEMBERSHIP_PREFIX}{shard}'


def availability(
    assignment: hosts.Assignment,
    host: hosts.Host,
    unknown: bool,
    now_s: float,
) -> Availability:
    """Return a host's availability.

    ``unknown`` is set when the platform's list has not named the host for
    too long.
    """
    rebooting = assignment.phase is hosts.Phase.REBOOTING
    if rebooting and now_s - assignment.since_s < MAX_REBOOT_S:
        return Availability.PLANNED_OUT
    if host.liveness is not hosts.Liveness.LIVE:
        return Availability.FAILED
    if unknown:
        return Availability.UNKNOWN
    if assignment.phase is hosts.Phase.ACTIVE:
        return Availability.READY
    return Availability.PLANNED_OUT


def availability_by_host(value: Shard, now_s: float) -> dict[str, Availability]:
    """Return the availability of every host of a shard."""
    unknown = frozenset(value.unknown_hosts)
    return {
        host: availability(
            assignment, value.hosts_by_id[host], host in unknown, now_s
        )
        for host, assignment in value.assignments_by_host.items()
    }


def destination(assignment: hosts.Assignment) -> str:
    """Return the pool that a host is moving to, or else the one it is in."""
    return assignment.next_pool or assignment.pool
