"""Racks and zones, and where maintenance is under way."""

from jackdawlatch.membership import shards
from jackdawlatch.model import hosts

Place = tuple[str, str]

IN_WORK = frozenset((hosts.Phase.DRAINING, hosts.Phase.REBOOTING))


def place(host: hosts.Host) -> Place:
    """Return the zone and rack of a host."""
    return (host.zone, host.rack)


def under_maintenance(assignment: hosts.Assignment) -> bool:
    """Return whether a wave has this host out of service."""
    return bool(assignment.wave) and assignment.phase in IN_WORK


def in_work(value: shards.Shard, now_s: float) -> dict[str, set[Place]]:
    """Return the racks of each pool in which maintenance is under way."""
    places_by_pool: dict[str, set[Place]] = {}
    for host, assignment in value.assignments_by_host.items():
        if _in_work(assignment, now_s):
            places = places_by_pool.setdefault(assignment.pool, set())
            places.add(place(value.hosts_by_id[host]))
    return places_by_pool


def _in_work(assignment: hosts.Assignment, now_s: float) -> bool:
    if under_maintenance(assignment):
        return True
    # A rebooted host that joins again is not yet back in its pool.
    joining = assignment.phase is hosts.Phase.JOINING
    return joining and now_s - assignment.since_s < shards.REBOOT_BOUND_S
