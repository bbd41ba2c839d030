"""Writes the settings of the deployments as example files."""

import pathlib
from collections.abc import Iterator

import msgspec

from jackdawlatch.model import records
from jackdawlatch.standins import deployments, ports, profiles

INDENT_SPACES = 2


def write(directory: pathlib.Path) -> None:
    """Write the settings of every deployment below a directory."""
    for profile in profiles.PROFILES_BY_NAME.values():
        deployment = deployments.build(profile, ports.FixedPorts())
        below = directory / profile.name
        below.mkdir(parents=True, exist_ok=True)
        for name, record in _files(deployment):
            write_json(below / f'{name}.json', record)


def write_json(path: pathlib.Path, record: records.Record) -> None:
    """Write a record as indented JSON."""
    encoded = msgspec.json.format(
        msgspec.json.encode(record), indent=INDENT_SPACES
    )
    path.write_bytes(b'%b\n' % encoded)


def _files(
    deployment: deployments.Deployment,
) -> Iterator[tuple[str, records.Record]]:
    yield 'configuration', profiles.configuration(deployment.profile)
    yield 'operator', deployment.operator
    yield 'store', deployment.store
    yield 'hosts', deployment.hosts
    yield 'runners', deployment.runners
    yield 'workers', deployment.workers
    yield from deployment.entries_by_name.items()
    yield from deployment.stewards_by_name.items()
    yield from deployment.placers_by_name.items()
