"""Availability budgets: how many hosts of a pool may be out of service.

A pool's unavailable hosts are its target size less the hosts that serve.
Planned work may raise that number up to the pool's budget.  Failures may
exceed the budget; planned work then waits until enough hosts serve again.
"""

import collections
import dataclasses
from collections.abc import Mapping

from jackdawlatch.membership import locations, shards
from jackdawlatch.model import hosts, presets

DEFAULT_MAX_UNAVAILABLE = 1


@dataclasses.dataclass(frozen=True)
class Limits:
    """Target sizes and availability budgets of pools, from the configuration.

    ``spare_pool`` is the name of the spare pool, empty if there is none.
    """

    targets_by_pool: Mapping[str, presets.PoolTarget]
    pools: frozenset[str]
    spare_pool: str
    hysteresis_s: float = 0

    @classmethod
    def of(cls, configuration: presets.Configuration) -> 'Limits':
        """Return the limits set by the preset in force."""
        preset = configuration.preset
        spare = [
            pool.name
            for pool in configuration.pools_by_name.values()
            if pool.spare
        ]
        return cls(
            targets_by_pool=preset.pools_by_name,
            pools=frozenset(configuration.pools_by_name),
            spare_pool=spare[0] if spare else '',
            hysteresis_s=preset.spare_hysteresis_s,
        )

    def target_hosts(self, pool: str) -> int | None:
        """Return a pool's target size; None if it has no fixed size.

        The spare pool has none, because it lends its hosts, nor has a pool
        that the preset does not name.  The target of a removed pool is 0.
        """
        if pool not in self.pools:
            return 0
        target = self.targets_by_pool.get(pool)
        if pool == self.spare_pool or target is None:
            return None
        return target.hosts

    def max_unavailable(self, pool: str) -> int:
        """Return how many hosts of a pool may be unavailable."""
        target = self.targets_by_pool.get(pool)
        return target.max_unavailable if target else DEFAULT_MAX_UNAVAILABLE


class Counts:
    """Counts of each pool's hosts by availability, updated host by host.

    A pool's expected hosts are those that serve it, or will serve it once
    the planned work on them ends.
    """

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self._ready_by_pool: collections.Counter[str] = collections.Counter()
        # Hosts that have not failed and are not moving to another pool.
        self._staying_by_pool: collections.Counter[str] = collections.Counter()
        # By pool and zone.
        self._maintenance_by_zone: collections.Counter[locations.Location] = (
            collections.Counter()
        )
        # By pool and zone, and by pool, zone and rack.
        self._assigned_by_location: collections.Counter[tuple[str, ...]] = (
            collections.Counter()
        )
        self._failed_by_pool: collections.Counter[str] = collections.Counter()
        self._expected_by_pool: collections.Counter[str] = collections.Counter()

    def add(
        self,
        assignment: hosts.Assignment,
        host: hosts.Host,
        availability: shards.Availability,
        sign: int,
    ) -> None:
        """Add a host to the counts (``sign`` 1) or remove it (``sign`` -1)."""
        pool = assignment.pool
        if availability is shards.Availability.READY:
            self._ready_by_pool[pool] += sign
        elif availability is not shards.Availability.PLANNED_OUT:
            self._failed_by_pool[pool] += sign
        if locations.under_maintenance(assignment):
            self._maintenance_by_zone[(pool, host.zone)] += sign
        if availability is not shards.Availability.FAILED:
            destination = shards.destination(assignment)
            self._expected_by_pool[destination] += sign
            self._assigned_by_location[(destination, host.zone)] += sign
            self._assigned_by_location[(destination, host.zone, host.rack)] += (
                sign
            )
            if not assignment.next_pool:
                self._staying_by_pool[pool] += sign

    def nearby_hosts(self, pool: str, host: hosts.Host) -> tuple[int, int]:
        """Return how many hosts a pool has in a host's rack, and in its zone."""
        return (
            self._assigned_by_location[(pool, host.zone, host.rack)],
            self._assigned_by_location[(pool, host.zone)],
        )

    def ready(self, pool: str) -> int:
        """Return how many hosts of a pool serve."""
        return self._ready_by_pool[pool]

    def failed(self, pool: str) -> int:
        """Return how many hosts of a pool failed or are unknown."""
        return self._failed_by_pool[pool]

    def zones_under_maintenance(self, pool: str) -> frozenset[str]:
        """Return the zones in which hosts of a pool are under maintenance."""
        return frozenset(
            zone
            for (other, zone), total in self._maintenance_by_zone.items()
            if other == pool and total
        )

    def unavailable(self, pool: str) -> int:
        """Return a pool's target size less the hosts that serve, at least 0."""
        target = self._limits.target_hosts(pool)
        if target is None:
            target = self._staying_by_pool[pool]
        return max(0, target - self._ready_by_pool[pool])

    def headroom(self, pool: str) -> int:
        """Return how many more hosts may be drained; negative over budget."""
        return self._limits.max_unavailable(pool) - self.unavailable(pool)

    def count_planned_drain(self, pool: str) -> None:
        """Count a host as out of service because its drain is planned."""
        self._ready_by_pool[pool] -= 1

    def shortage(self, pool: str) -> int:
        """Return target size less expected hosts; negative for a surplus."""
        target = self._limits.target_hosts(pool)
        if target is None:
            return 0
        return target - self._expected_by_pool[pool]


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """The availability of every host, and each pool's counts."""

    availability_by_host: Mapping[str, shards.Availability]
    counts: Counts


def take_snapshot(
    value: shards.Shard, limits: Limits, now_s: float
) -> Snapshot:
    """Compute the availability of every host of a shard, and the counts."""
    counts = Counts(limits)
    availability_by_host = shards.availability_by_host(value, now_s)
    for host, availability in availability_by_host.items():
        assignment = value.assignments_by_host[host]
        counts.add(assignment, value.hosts_by_id[host], availability, 1)
    return Snapshot(availability_by_host, counts)


def count(value: shards.Shard, limits: Limits, now_s: float) -> Counts:
    """Return the counts of every pool of a shard."""
    return take_snapshot(value, limits, now_s).counts
