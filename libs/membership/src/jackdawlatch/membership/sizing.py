"""How many spare hosts keep every budget through the worst failure."""

import collections
import dataclasses

from jackdawlatch.membership import budget, places, shards
from jackdawlatch.model import presets

DAY_S = 86_400


@dataclasses.dataclass(frozen=True)
class Size:
    """Spare hosts needed for a failure domain, and on top for demand."""

    failure_domain: int
    demand: int

    @property
    def hosts(self) -> int:
        """Return the spare hosts needed in all."""
        return self.failure_domain + self.demand


@dataclasses.dataclass(frozen=True)
class Demand:
    """The highest count of hosts on loan, which halves every day."""

    hosts: float = 0
    at_s: float = 0

    def measured(self, on_loan: int, now_s: float) -> 'Demand':
        """Return the demand after one more measurement."""
        days = max(0, now_s - self.at_s) / DAY_S
        faded = self.hosts * 0.5**days
        return Demand(max(float(on_loan), faded), now_s)


def failure_domain(value: shards.Shard, limits: budget.Limits) -> int:
    """Return the hosts that pools need lent if the worst rack fails.

    A pool's budget bears its first failures, so a rack that is spread over
    many pools costs few spare hosts, or none.
    """
    held: collections.Counter[tuple[places.Place, str]] = collections.Counter()
    for host, assignment in value.assignments_by_host.items():
        pool = shards.destination(assignment)
        if limits.wanted(pool) is not None:
            held[(places.place(value.hosts_by_id[host]), pool)] += 1
    needed: collections.Counter[places.Place] = collections.Counter()
    for (place, pool), count in held.items():
        needed[place] += max(0, count - limits.max_unavailable(pool))
    return max(needed.values(), default=0)


def demand(configuration: presets.Configuration) -> int:
    """Return the hosts that the largest preset wants beyond the present one."""
    wanted = [
        _wanted(preset, configuration)
        for preset in configuration.presets_by_name.values()
    ]
    return max(wanted, default=0) - _wanted(configuration.preset, configuration)


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


def _wanted(
    preset: presets.Preset, configuration: presets.Configuration
) -> int:
    return sum(
        target.hosts
        for pool, target in preset.pools_by_name.items()
        if not configuration.pools_by_name[pool].spare
    )
