"""The sizes and names of the two reference deployments."""

import dataclasses
import types
from collections.abc import Mapping

from jackdawlatch.model import presets

SPARE = 'spare'
MEMORY_GB = 128
MB_PER_GB = 1024
HOSTS_PER_POOL = 6
HOSTS_PER_RACK = 4
QUOTA_HOSTS = 4
WALES_PROCESSORS = 64
PRAIRIE_PROCESSORS = 32
WALES_ONE_WAY_MS = 0.5
PRAIRIE_ONE_WAY_MS = 1.5


@dataclasses.dataclass(frozen=True)
class Profile:
    """One deployment; ``one_way_ms`` is the network latency between zones.

    ``services`` does not include the spare pool.
    """

    name: str
    zones: tuple[str, ...]
    one_way_ms: float
    processors: int
    services: tuple[str, ...]
    teams: tuple[str, ...]
    entries: int = 6

    @property
    def pools(self) -> tuple[str, ...]:
        """The names of all pools, the spare one last."""
        return (*self.services, SPARE)


BROLLY_ADFER = Profile(
    name='brolly-adfer',
    zones=('swansea', 'cardiff', 'newport'),
    one_way_ms=WALES_ONE_WAY_MS,
    processors=WALES_PROCESSORS,
    services=('lookup', 'dispatch', 'notify', 'ledger'),
    teams=('desk', 'courier', 'owner'),
)
PRAIRIE_SLATE = Profile(
    name='prairie-slate',
    zones=('regina', 'saskatoon', 'winnipeg'),
    one_way_ms=PRAIRIE_ONE_WAY_MS,
    processors=PRAIRIE_PROCESSORS,
    services=('proof', 'billing', 'stencil', 'mix'),
    teams=('cafe', 'grocer', 'writer'),
    entries=7,
)
PROFILES_BY_NAME: Mapping[str, Profile] = types.MappingProxyType(
    {profile.name: profile for profile in (BROLLY_ADFER, PRAIRIE_SLATE)}
)


def configuration(profile: Profile) -> presets.Configuration:
    """Return the initial configuration, with three presets."""
    initial = (_ordinary(profile), _peak(profile), _maintenance(profile))
    return presets.Configuration(
        in_force='ordinary',
        presets_by_name={preset.name: preset for preset in initial},
        pools_by_name={
            pool: presets.Pool(name=pool, spare=pool == SPARE)
            for pool in profile.pools
        },
        services_by_name={
            service: presets.Service(name=service, pool=service)
            for service in profile.services
        },
    )


def _ordinary(profile: Profile) -> presets.Preset:
    return presets.Preset(
        name='ordinary',
        pools_by_name=_targets(profile, HOSTS_PER_POOL, HOSTS_PER_POOL),
        shares=(
            presets.Share(urgency='urgent', weight=4),
            presets.Share(urgency='normal', weight=2),
            presets.Share(urgency='batch', weight=1),
        ),
        quotas_by_team=_quotas(profile),
    )


def _peak(profile: Profile) -> presets.Preset:
    """Lend one spare host to each pool, and give urgent work more weight."""
    lent_hosts = len(profile.services)
    return presets.Preset(
        name='peak',
        pools_by_name=_targets(
            profile, HOSTS_PER_POOL + 1, HOSTS_PER_POOL - lent_hosts
        ),
        shares=(
            presets.Share(urgency='urgent', weight=8),
            presets.Share(urgency='normal', weight=2),
            presets.Share(urgency='batch', weight=1),
        ),
        quotas_by_team=_quotas(profile),
        spare_hysteresis_s=5,
    )


def _maintenance(profile: Profile) -> presets.Preset:
    """Allow two hosts of each pool to be unavailable at once."""
    return presets.Preset(
        name='maintenance',
        pools_by_name=_targets(
            profile, HOSTS_PER_POOL, HOSTS_PER_POOL, max_unavailable=2
        ),
        shares=(
            presets.Share(urgency='urgent', weight=4),
            presets.Share(urgency='normal', weight=2),
            presets.Share(urgency='batch', weight=1),
        ),
        quotas_by_team=_quotas(profile),
    )


def _targets(
    profile: Profile, pool_hosts: int, spare: int, max_unavailable: int = 1
) -> dict[presets.Name, presets.PoolTarget]:
    services = {
        service: presets.PoolTarget(
            hosts=pool_hosts, max_unavailable=max_unavailable
        )
        for service in profile.services
    }
    # No request needs a spare host, so all of them may be unavailable.
    spare_target = presets.PoolTarget(hosts=spare, max_unavailable=spare)
    return {**services, SPARE: spare_target}


def _quotas(profile: Profile) -> dict[presets.Name, presets.Quota]:
    quota = presets.Quota(
        processors=QUOTA_HOSTS * profile.processors,
        memory_mb=QUOTA_HOSTS * MEMORY_GB * MB_PER_GB,
    )
    return dict.fromkeys(profile.teams, quota)
