"""Checks of a whole configuration before it is written."""

from collections.abc import Iterator, Mapping

import msgspec
from returns import result

from jackdawlatch.config import field_errors, paths, preset_checks
from jackdawlatch.model import failures, presets

Constraints = preset_checks.Constraints
NO_CONSTRAINTS = Constraints()

Checked = result.Result[presets.Configuration, failures.Invalid]


def check(
    configuration: presets.Configuration,
    constraints: Constraints = NO_CONSTRAINTS,
) -> Checked:
    """Return the configuration, or a failure for its first invalid field."""
    json_value = msgspec.to_builtins(configuration)
    converted = paths.convert(json_value, presets.Configuration)
    if isinstance(converted, result.Failure):
        return converted
    invalid = next(violations(configuration, constraints), None)
    if invalid:
        return result.Failure(invalid)
    return result.Success(configuration)


def violations(
    configuration: presets.Configuration, constraints: Constraints
) -> Iterator[failures.Invalid]:
    """Yield a failure for each field that contradicts another one."""
    yield from _check_names('pools_by_name', configuration.pools_by_name)
    yield from _check_names('services_by_name', configuration.services_by_name)
    yield from _check_names('presets_by_name', configuration.presets_by_name)
    yield from _check_in_force(configuration)
    yield from _check_spare_pool(configuration)
    yield from _check_services(configuration)
    for preset in configuration.presets_by_name.values():
        yield from preset_checks.check(preset, configuration, constraints)


def check_edit(
    current: presets.Configuration,
    edited: presets.Configuration,
    constraints: Constraints = NO_CONSTRAINTS,
) -> Checked:
    """Return the edited configuration, or a failure if it is not valid."""
    if current.presets_by_name and not edited.presets_by_name:
        # Once there is a preset, one must stay in force.
        return result.Failure(
            field_errors.invalid('presets_by_name', 'at least one preset')
        )
    return check(edited, constraints)


def _check_names(
    field: str,
    named: Mapping[str, presets.Pool | presets.Service | presets.Preset],
) -> Iterator[failures.Invalid]:
    for key, item in named.items():
        if key != item.name:
            yield field_errors.invalid(
                f'{field}.{key}.name', f'"{key}", the same as its key'
            )


def _check_in_force(
    configuration: presets.Configuration,
) -> Iterator[failures.Invalid]:
    names = configuration.presets_by_name
    # A new configuration has no presets, so none can be in force.
    if names and configuration.in_force not in names:
        yield field_errors.invalid(
            'in_force',
            field_errors.one_of(names),
            hint='add this preset first, or put another one in force',
        )


def _check_spare_pool(
    configuration: presets.Configuration,
) -> Iterator[failures.Invalid]:
    spare_pools = [
        pool.name for pool in configuration.pools_by_name.values() if pool.spare
    ]
    if len(spare_pools) > 1:
        yield field_errors.invalid(
            f'pools_by_name.{spare_pools[1]}.spare',
            f'false, because {spare_pools[0]} is the spare pool',
        )
    if configuration.presets_by_name and not spare_pools:
        yield field_errors.invalid(
            'pools_by_name', 'one pool with "spare": true'
        )


def _check_services(
    configuration: presets.Configuration,
) -> Iterator[failures.Invalid]:
    for service in configuration.services_by_name.values():
        if service.pool not in configuration.pools_by_name:
            yield field_errors.invalid(
                f'services_by_name.{service.name}.pool',
                field_errors.one_of(configuration.pools_by_name),
            )
