"""Checks of a whole configuration before it is written."""

from collections.abc import Iterator, Mapping

import msgspec
from returns import result

from jackdawlatch.config import faults, paths, preset_checks
from jackdawlatch.model import failures, presets

Known = preset_checks.Known
NOTHING_KNOWN = Known()

Checked = result.Result[presets.Configuration, failures.Invalid]


def check(
    configuration: presets.Configuration,
    known: Known = NOTHING_KNOWN,
) -> Checked:
    """Return the configuration, or the first thing wrong with it."""
    plain = msgspec.to_builtins(configuration)
    converted = paths.convert(plain, presets.Configuration)
    if isinstance(converted, result.Failure):
        return converted
    invalid = next(_faults(configuration, known), None)
    if invalid:
        return result.Failure(invalid)
    return result.Success(configuration)


def check_edit(
    present: presets.Configuration,
    wanted: presets.Configuration,
    known: Known = NOTHING_KNOWN,
) -> Checked:
    """Return what an edit leads to, or what is wrong with it."""
    if present.presets_by_name and not wanted.presets_by_name:
        # Only a store that never had a preset may have none in force.
        return result.Failure(
            faults.invalid('presets_by_name', 'at least one preset')
        )
    return check(wanted, known)


def _faults(
    configuration: presets.Configuration, known: Known
) -> Iterator[failures.Invalid]:
    yield from _keys('pools_by_name', configuration.pools_by_name)
    yield from _keys('services_by_name', configuration.services_by_name)
    yield from _keys('presets_by_name', configuration.presets_by_name)
    yield from _in_force(configuration)
    yield from _spare(configuration)
    yield from _services(configuration)
    for preset in configuration.presets_by_name.values():
        yield from preset_checks.check(preset, configuration, known)


def _keys(
    field: str,
    named: Mapping[str, presets.Pool | presets.Service | presets.Preset],
) -> Iterator[failures.Invalid]:
    for key, item in named.items():
        if key != item.name:
            yield faults.invalid(f'{field}.{key}.name', f'"{key}", as its key')


def _in_force(
    configuration: presets.Configuration,
) -> Iterator[failures.Invalid]:
    names = configuration.presets_by_name
    # Before the first preset exists there is none to put in force.
    if names and configuration.in_force not in names:
        yield faults.invalid(
            'in_force',
            faults.one_of(names),
            hint='put this preset before the others, or another in force',
        )


def _spare(
    configuration: presets.Configuration,
) -> Iterator[failures.Invalid]:
    spare = [
        pool.name for pool in configuration.pools_by_name.values() if pool.spare
    ]
    if len(spare) > 1:
        yield faults.invalid(
            f'pools_by_name.{spare[1]}.spare',
            f'false, because {spare[0]} is the spare pool',
        )
    if configuration.presets_by_name and not spare:
        yield faults.invalid('pools_by_name', 'one pool with "spare": true')


def _services(
    configuration: presets.Configuration,
) -> Iterator[failures.Invalid]:
    for service in configuration.services_by_name.values():
        if service.pool not in configuration.pools_by_name:
            yield faults.invalid(
                f'services_by_name.{service.name}.pool',
                faults.one_of(configuration.pools_by_name),
            )
