"""Checks of the operators' own configuration: errors and entries of no use."""

from collections.abc import Iterator

from jackdawlatch.config import findings, validation
from jackdawlatch.model import presets


def check(
    configuration: presets.Configuration,
    constraints: validation.Constraints = validation.NO_CONSTRAINTS,
) -> Iterator[findings.Finding]:
    """Yield every invalid field, then what contradicts itself or is unused."""
    for invalid in validation.violations(configuration, constraints):
        yield findings.error(invalid.path, f'expected {invalid.expected}')
    yield from _check_services(configuration)
    for preset in configuration.presets_by_name.values():
        yield from _check_preset(preset, configuration)


def check_edit(
    current: presets.Configuration, edited: presets.Configuration
) -> Iterator[findings.Finding]:
    """Yield what can't be applied to the configuration in force."""
    if current.presets_by_name and not edited.presets_by_name:
        yield findings.error('presets_by_name', 'expected at least one preset')


def _check_services(
    configuration: presets.Configuration,
) -> Iterator[findings.Finding]:
    used_pools = set()
    for service in configuration.services_by_name.values():
        used_pools.add(service.pool)
        if service.slots_per_host > service.connections_per_host:
            yield findings.warning(
                f'services_by_name.{service.name}.slots_per_host',
                f'above connections_per_host, {service.connections_per_host}:'
                ' the slots beyond are never used',
            )
    for pool in configuration.pools_by_name.values():
        if not pool.spare and pool.name not in used_pools:
            yield findings.warning(
                f'pools_by_name.{pool.name}', 'no service uses this pool'
            )


def _check_preset(
    preset: presets.Preset, configuration: presets.Configuration
) -> Iterator[findings.Finding]:
    path = f'presets_by_name.{preset.name}'
    for service in configuration.services_by_name.values():
        target = preset.pools_by_name.get(service.pool)
        if target is None or not target.hosts:
            yield findings.warning(
                f'{path}.pools_by_name.{service.pool}',
                f'no hosts, so that service {service.name} is not served',
            )
    for team, quota in preset.quotas_by_team.items():
        if not (quota.processors and quota.memory_mb):
            yield findings.warning(
                f'{path}.quotas_by_team.{team}',
                'no processors or no memory: its jobs never run',
            )
