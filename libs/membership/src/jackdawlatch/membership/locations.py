"""Racks and zones of hosts, and those in which maintenance is under way."""

from jackdawlatch.membership import shards
from jackdawlatch.model import hosts

Location = tuple[str, str]

MAINTENANCE_PHASES = frozenset((hosts.Phase.DRAINING, hosts.Phase.REBOOTING))


def location(host: hosts.Host) -> Location:
    """Return the zone and rack of a host."""
    return (host.zone, host.rack)


def under_maintenance(assignment: hosts.Assignment) -> bool:
    """Return whether a wave is draining or rebooting the host."""
    return bool(assignment.wave) and assignment.phase in MAINTENANCE_PHASES


def racks_under_maintenance(
    value: shards.Shard, now_s: float
) -> dict[str, set[Location]]:
    """Return the racks under maintenance, by pool.

    Rebooted hosts that have not yet rejoined their pool count as well.
    """
    racks_by_pool: dict[str, set[Location]] = {}
    for host, assignment in value.assignments_by_host.items():
        if _counts_as_maintenance(assignment, now_s):
            racks = racks_by_pool.setdefault(assignment.pool, set())
            racks.add(location(value.hosts_by_id[host]))
    return racks_by_pool


def _counts_as_maintenance(assignment: hosts.Assignment, now_s: float) -> bool:
    if under_maintenance(assignment):
        return True
    # A joining host is not yet back in its pool after its reboot.
    joining = assignment.phase is hosts.Phase.JOINING
    return joining and now_s - assignment.since_s < shards.MAX_REBOOT_S
