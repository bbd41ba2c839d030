"""Availability budgets: how many hosts of a pool may be out of service.

A pool is short by the hosts it should have and that do not serve.  Planned
work may make it short up to its budget.  Failures may go beyond; planned
work then waits until enough hosts serve again.
"""

import collections
import dataclasses
from collections.abc import Mapping

from jackdawlatch.membership import places, shards
from jackdawlatch.model import hosts, presets

DEFAULT_MAX_UNAVAILABLE = 1


@dataclasses.dataclass(frozen=True)
class Limits:
    """What the configuration in force asks of each pool."""

    targets_by_pool: Mapping[str, presets.PoolTarget]
    pools: frozenset[str]
    spare: str
    hysteresis_s: float = 0

    @classmethod
    def of(cls, configuration: presets.Configuration) -> 'Limits':
        """Return the limits that the preset in force sets."""
        preset = configuration.preset
        spare = [
            pool.name
            for pool in configuration.pools_by_name.values()
            if pool.spare
        ]
        return cls(
            targets_by_pool=preset.pools_by_name,
            pools=frozenset(configuration.pools_by_name),
            spare=spare[0] if spare else '',
            hysteresis_s=preset.spare_hysteresis_s,
        )

    def wanted(self, pool: str) -> int | None:
        """Return the hosts a pool should have; None when that is open.

        It is open for the spare pool, which lends its hosts, and for a pool
        that the preset does not name.  A pool that was removed wants none.
        """
        if pool not in self.pools:
            return 0
        target = self.targets_by_pool.get(pool)
        if pool == self.spare or target is None:
            return None
        return target.hosts

    def max_unavailable(self, pool: str) -> int:
        """Return a pool's availability budget."""
        target = self.targets_by_pool.get(pool)
        return target.max_unavailable if target else DEFAULT_MAX_UNAVAILABLE


class Counts:
    """Hosts of each pool by what they do, kept up to date host by host.

    ``expected`` counts those that serve or will once planned work on them
    ends, in the pool they are bound for.
    """

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self._ready_by_pool: collections.Counter[str] = collections.Counter()
        self._staying_by_pool: collections.Counter[str] = collections.Counter()
        self._work_by_place: collections.Counter[places.Place] = (
            collections.Counter()
        )
        self._bound_by_place: collections.Counter[tuple[str, ...]] = (
            collections.Counter()
        )
        self._failed_by_pool: collections.Counter[str] = collections.Counter()
        self._expected_by_pool: collections.Counter[str] = collections.Counter()

    def add(
        self,
        assignment: hosts.Assignment,
        host: hosts.Host,
        service: shards.Service,
        sign: int,
    ) -> None:
        """Count a host in (``sign`` 1) or out again (-1)."""
        pool = assignment.pool
        if service is shards.Service.READY:
            self._ready_by_pool[pool] += sign
        elif service is not shards.Service.PLANNED_OUT:
            self._failed_by_pool[pool] += sign
        if places.under_maintenance(assignment):
            self._work_by_place[(pool, host.zone)] += sign
        if service is not shards.Service.FAILED:
            bound = shards.destination(assignment)
            self._expected_by_pool[bound] += sign
            self._bound_by_place[(bound, host.zone)] += sign
            self._bound_by_place[(bound, host.zone, host.rack)] += sign
            if not assignment.next_pool:
                self._staying_by_pool[pool] += sign

    def crowd(self, pool: str, host: hosts.Host) -> tuple[int, int]:
        """Return the hosts of a pool in a host's rack, and in its zone."""
        return (
            self._bound_by_place[(pool, host.zone, host.rack)],
            self._bound_by_place[(pool, host.zone)],
        )

    def ready(self, pool: str) -> int:
        """Return how many hosts of a pool serve."""
        return self._ready_by_pool[pool]

    def failed(self, pool: str) -> int:
        """Return how many hosts of a pool failed or are unknown."""
        return self._failed_by_pool[pool]

    def zones_in_work(self, pool: str) -> frozenset[str]:
        """Return the zones of a pool in which hosts are maintained."""
        return frozenset(
            zone
            for (worked, zone), hosts_in_work in self._work_by_place.items()
            if worked == pool and hosts_in_work
        )

    def unavailable(self, pool: str) -> int:
        """Return how many hosts the pool lacks now."""
        wanted = self._limits.wanted(pool)
        if wanted is None:
            wanted = self._staying_by_pool[pool]
        return max(0, wanted - self._ready_by_pool[pool])

    def headroom(self, pool: str) -> int:
        """Return how many more hosts may be taken out; negative when over."""
        return self._limits.max_unavailable(pool) - self.unavailable(pool)

    def spend(self, pool: str) -> None:
        """Count one host out of service that is about to be drained."""
        self._ready_by_pool[pool] -= 1

    def missing(self, pool: str) -> int:
        """Return hosts wanted over hosts expected; negative when in surplus."""
        wanted = self._limits.wanted(pool)
        if wanted is None:
            return 0
        return wanted - self._expected_by_pool[pool]


@dataclasses.dataclass(frozen=True)
class Survey:
    """What every host does, and the counts that follow for each pool."""

    services_by_host: Mapping[str, shards.Service]
    counts: Counts


def survey(value: shards.Shard, limits: Limits, now_s: float) -> Survey:
    """Look at every host of a shard once."""
    counts = Counts(limits)
    services_by_host = shards.services(value, now_s)
    for host, service in services_by_host.items():
        assignment = value.assignments_by_host[host]
        counts.add(assignment, value.hosts_by_id[host], service, 1)
    return Survey(services_by_host, counts)


def count(value: shards.Shard, limits: Limits, now_s: float) -> Counts:
    """Return the counts of every pool of a shard."""
    return survey(value, limits, now_s).counts
