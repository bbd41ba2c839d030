"""The configuration that operators edit: pools, services and presets."""

from typing import Annotated

import msgspec

from jackdawlatch.model import records

MAX_COUNT = 100_000
MAX_PER_HOST = 4096
DAY_S = 86_400

Name = Annotated[str, msgspec.Meta(pattern='^[a-z][a-z0-9-]{0,62}$')]
Fraction = Annotated[float, msgspec.Meta(ge=0, le=1)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Weight = Annotated[float, msgspec.Meta(gt=0, le=1000)]


class Service(records.StrictRecord, frozen=True, kw_only=True):
    """A service that callers request, run by the runners of one pool.

    ``slots_per_host`` is how many requests a runner takes at once, and
    ``connections_per_host`` how many connections to it may be open.
    """

    name: Name
    pool: Name
    slots_per_host: Annotated[int, msgspec.Meta(ge=1, le=MAX_PER_HOST)] = 8
    connections_per_host: Annotated[
        int, msgspec.Meta(ge=1, le=MAX_PER_HOST)
    ] = 60


class Pool(records.StrictRecord, frozen=True, kw_only=True):
    """A named set of hosts; the spare pool lends hosts to the others."""

    name: Name
    spare: bool = False


class PoolTarget(records.StrictRecord, frozen=True, kw_only=True):
    """The size and the availability budget that a preset gives to a pool.

    ``hosts`` is how many hosts the pool should have.  ``max_unavailable`` is
    how many of those may be out of service at once, through planned work and
    failures together.
    """

    hosts: Count
    max_unavailable: Count = 1


class Share(records.StrictRecord, frozen=True, kw_only=True):
    """The weight of one kind of work; ``*`` matches any name."""

    service: str = '*'
    team: str = '*'
    urgency: str = '*'
    weight: Weight = 1


class Quota(records.StrictRecord, frozen=True, kw_only=True):
    """The resources that the jobs of a team may hold at once.

    The defaults are large enough to mean no limit.
    """

    processors: Annotated[float, msgspec.Meta(ge=0)] = 1e9
    memory_mb: Annotated[float, msgspec.Meta(ge=0)] = 1e12
    accelerators: Annotated[float, msgspec.Meta(ge=0)] = 1e9


class Preset(records.StrictRecord, frozen=True, kw_only=True):
    """The settings that differ between ordinary days, peaks and maintenance.

    ``admission``, ``balancing`` and ``placement`` name policies.
    ``queue_limit`` bounds the queue of each kind of work.  ``retry_ratio`` is
    the ratio of retries to first attempts.  ``ejection_cap`` is the fraction
    of a pool that may be ejected for failing.
    """

    name: Name
    pools_by_name: dict[Name, PoolTarget] = {}
    shares: tuple[Share, ...] = ()
    quotas_by_team: dict[Name, Quota] = {}
    admission: str = 'fair'
    balancing: str = 'broker'
    placement: str = 'preempt'
    queue_limit: Annotated[int, msgspec.Meta(ge=1, le=MAX_COUNT)] = 1200
    retry_ratio: Fraction = 0.1
    ejection_cap: Fraction = 0.34
    spare_hysteresis_s: Annotated[float, msgspec.Meta(ge=0, le=DAY_S)] = 300


class Configuration(
    records.Versioned, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """All pools, services and presets; ``in_force`` names the active preset."""

    in_force: Name = 'ordinary'
    presets_by_name: dict[Name, Preset] = {}
    pools_by_name: dict[Name, Pool] = {}
    services_by_name: dict[Name, Service] = {}

    @property
    def preset(self) -> Preset:
        """Return the preset in force, or a default one of that name."""
        found = self.presets_by_name.get(self.in_force)
        return found or Preset(name=self.in_force)
