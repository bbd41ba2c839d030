"""Checks of one preset against the rest of the configuration."""

import dataclasses
from collections.abc import Iterator

from jackdawlatch.config import field_errors
from jackdawlatch.model import failures, presets, shares, work


@dataclasses.dataclass(frozen=True)
class Constraints:
    """The policy names that a preset may use, and the size of the fleet.

    An empty set of names allows any name, ``fleet_hosts`` of None any size.
    """

    admission: frozenset[str] = frozenset()
    balancing: frozenset[str] = frozenset()
    placement: frozenset[str] = frozenset()
    fleet_hosts: int | None = None


def check(
    preset: presets.Preset,
    configuration: presets.Configuration,
    constraints: Constraints,
) -> Iterator[failures.Invalid]:
    """Yield a failure for each invalid field of a preset."""
    path = f'presets_by_name.{preset.name}'
    for pool, target in preset.pools_by_name.items():
        pool_path = f'{path}.pools_by_name.{pool}'
        if pool not in configuration.pools_by_name:
            yield field_errors.invalid(
                pool_path, field_errors.one_of(configuration.pools_by_name)
            )
        if target.max_unavailable > target.hosts:
            yield field_errors.invalid(
                f'{pool_path}.max_unavailable',
                f'at most {target.hosts}, the hosts of the pool',
            )
    yield from _check_fleet_size(path, preset, constraints)
    yield from _check_policies(path, preset, constraints)
    yield from _check_shares(path, preset, configuration)


def _check_fleet_size(
    path: str, preset: presets.Preset, constraints: Constraints
) -> Iterator[failures.Invalid]:
    requested_hosts = sum(
        target.hosts for target in preset.pools_by_name.values()
    )
    if (
        constraints.fleet_hosts is not None
        and requested_hosts > constraints.fleet_hosts
    ):
        yield field_errors.invalid(
            f'{path}.pools_by_name',
            f'at most {constraints.fleet_hosts} hosts in total, not {requested_hosts}',
        )


def _check_policies(
    path: str, preset: presets.Preset, constraints: Constraints
) -> Iterator[failures.Invalid]:
    chosen_by_field = {
        'admission': (preset.admission, constraints.admission),
        'balancing': (preset.balancing, constraints.balancing),
        'placement': (preset.placement, constraints.placement),
    }
    for field, (name, names) in chosen_by_field.items():
        if names and name not in names:
            yield field_errors.invalid(
                f'{path}.{field}', field_errors.one_of(names)
            )


def _check_shares(
    path: str, preset: presets.Preset, configuration: presets.Configuration
) -> Iterator[failures.Invalid]:
    services = {shares.WILDCARD, *configuration.services_by_name}
    urgencies = {shares.WILDCARD, *work.Urgency}
    seen: set[tuple[str, str, str]] = set()
    for index, share in enumerate(preset.shares):
        share_path = f'{path}.shares[{index}]'
        if share.service not in services:
            yield field_errors.invalid(
                f'{share_path}.service', field_errors.one_of(services)
            )
        if share.urgency not in urgencies:
            yield field_errors.invalid(
                f'{share_path}.urgency', field_errors.one_of(urgencies)
            )
        kind = (share.service, share.team, share.urgency)
        if kind in seen:
            yield field_errors.invalid(
                share_path, 'a kind of work that no earlier share names'
            )
        seen.add(kind)
