"""Checks of one preset against the rest of the configuration."""

import dataclasses
from collections.abc import Iterator

from jackdawlatch.config import faults
from jackdawlatch.model import failures, presets, shares, work


@dataclasses.dataclass(frozen=True)
class Known:
    """What names a preset may use, and how many hosts there are.

    An empty set of policies or a fleet of None is not checked against.
    """

    admission: frozenset[str] = frozenset()
    balancing: frozenset[str] = frozenset()
    placement: frozenset[str] = frozenset()
    fleet_hosts: int | None = None


def check(
    preset: presets.Preset, configuration: presets.Configuration, known: Known
) -> Iterator[failures.Invalid]:
    """Yield each thing that is wrong with a preset."""
    path = f'presets_by_name.{preset.name}'
    for pool, target in preset.pools_by_name.items():
        below = f'{path}.pools_by_name.{pool}'
        if pool not in configuration.pools_by_name:
            yield faults.invalid(
                below, faults.one_of(configuration.pools_by_name)
            )
        if target.max_unavailable > target.hosts:
            yield faults.invalid(
                f'{below}.max_unavailable', f'at most {target.hosts}, its hosts'
            )
    yield from _fleet(path, preset, known)
    yield from _policies(path, preset, known)
    yield from _shares(path, preset, configuration)


def _fleet(
    path: str, preset: presets.Preset, known: Known
) -> Iterator[failures.Invalid]:
    wanted = sum(target.hosts for target in preset.pools_by_name.values())
    if known.fleet_hosts is not None and wanted > known.fleet_hosts:
        yield faults.invalid(
            f'{path}.pools_by_name',
            f'at most {known.fleet_hosts} hosts in all, not {wanted}',
        )


def _policies(
    path: str, preset: presets.Preset, known: Known
) -> Iterator[failures.Invalid]:
    chosen_by_field = {
        'admission': (preset.admission, known.admission),
        'balancing': (preset.balancing, known.balancing),
        'placement': (preset.placement, known.placement),
    }
    for field, (name, names) in chosen_by_field.items():
        if names and name not in names:
            yield faults.invalid(f'{path}.{field}', faults.one_of(names))


def _shares(
    path: str, preset: presets.Preset, configuration: presets.Configuration
) -> Iterator[failures.Invalid]:
    services = {shares.ANY, *configuration.services_by_name}
    urgencies = {shares.ANY, *work.Urgency}
    seen: set[tuple[str, str, str]] = set()
    for index, share in enumerate(preset.shares):
        below = f'{path}.shares[{index}]'
        if share.service not in services:
            yield faults.invalid(f'{below}.service', faults.one_of(services))
        if share.urgency not in urgencies:
            yield faults.invalid(f'{below}.urgency', faults.one_of(urgencies))
        kind = (share.service, share.team, share.urgency)
        if kind in seen:
            yield faults.invalid(below, 'each kind of work once')
        seen.add(kind)
