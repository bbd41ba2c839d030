"""Sizes the spare pool for the failure of a whole rack and for demand."""

import collections
import dataclasses

from jackdawlatch.membership import budget, locations, shards
from jackdawlatch.model import presets

DAY_S = 86_400


@dataclasses.dataclass(frozen=True)
class Size:
    """Spare hosts needed for the failure of a domain, and for demand."""

    failure_domain: int
    demand: int

    @property
    def hosts(self) -> int:
        """Return the total of spare hosts needed."""
        return self.failure_domain + self.demand


@dataclasses.dataclass(frozen=True)
class Demand:
    """The peak number of hosts on loan, which halves every day."""

    hosts: float = 0
    at_s: float = 0

    def updated(self, on_loan: int, now_s: float) -> 'Demand':
        """Return the demand after a new measurement of hosts on loan."""
        days = max(0, now_s - self.at_s) / DAY_S
        decayed = self.hosts * 0.5**days
        return Demand(max(float(on_loan), decayed), now_s)


def failure_domain(value: shards.Shard, limits: budget.Limits) -> int:
    """Return the most spare hosts that the failure of one rack would need.

    Each pool's budget covers its first failures, so a rack whose hosts are
    spread over many pools needs few spare hosts, or none.
    """
    hosts_by_rack_and_pool: collections.Counter[
        tuple[locations.Location, str]
    ] = collections.Counter()
    for host, assignment in value.assignments_by_host.items():
        pool = shards.destination(assignment)
        if limits.target_hosts(pool) is not None:
            hosts_by_rack_and_pool[
                (locations.location(value.hosts_by_id[host]), pool)
            ] += 1
    needed: collections.Counter[locations.Location] = collections.Counter()
    for (location, pool), count in hosts_by_rack_and_pool.items():
        needed[location] += max(0, count - limits.max_unavailable(pool))
    return max(needed.values(), default=0)


def demand(configuration: presets.Configuration) -> int:
    """Return the hosts of the largest preset beyond those of the current one."""
    target_counts = [
        _target_hosts(preset, configuration)
        for preset in configuration.presets_by_name.values()
    ]
    return max(target_counts, default=0) - _target_hosts(
        configuration.preset, configuration
    )


def size(
    value: shards.Shard,
    configuration: presets.Configuration,
    measured: Demand,
) -> Size:
    """Return the spare hosts needed for failures and for demand."""
    limits = budget.Limits.of(configuration)
    return Size(
        failure_domain(value, limits),
        max(demand(configuration), round(measured.hosts)),
    )


def _target_hosts(
    preset: presets.Preset, configuration: presets.Configuration
) -> int:
    return sum(
        target.hosts
        for pool, target in preset.pools_by_name.items()
        if not configuration.pools_by_name[pool].spare
    )
