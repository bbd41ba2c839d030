"""Reads configurations of the unified daemon, as its store holds them."""

import pathlib
from collections.abc import Iterator
from typing import Any

import msgspec
from returns import result

from jackdawlatch.backends import exchange
from jackdawlatch.config import (
    catalog_checks,
    files,
    findings,
    paths,
    unread_fields,
)
from jackdawlatch.jobs import queues
from jackdawlatch.model import failures
from jackdawlatch.platform import operator, store
from jackdawlatch.store import keyvalue

SECTIONS = catalog_checks.Sections(*operator.SECTIONS)


def is_unified(json_value: Any) -> bool:
    """Return whether a file is a configuration of the unified daemon."""
    return isinstance(json_value, dict) and not json_value.keys().isdisjoint(
        operator.SECTIONS
    )


def decode(json_value: Any) -> result.Result[queues.Catalog, findings.Finding]:
    """Return the configuration, or the first field that is malformed."""
    return _decode(
        keyvalue.Entry(
            key=operator.CONFIG_KEY,
            value=msgspec.json.encode(json_value),
            revision=keyvalue.ABSENT,
        )
    ).alt(_to_finding)


def unread_fields_of(json_value: Any) -> Iterator[findings.Finding]:
    """Yield the fields of a configuration that no daemon reads."""
    finder = unread_fields.Finder(operator.UNREAD_FIELDS)
    return finder.find(json_value, operator.ManifestRow)


async def read_in_force(
    file: pathlib.Path | None, address: str
) -> result.Result[queues.Catalog | None, failures.Problem]:
    """Return the version in force, None if neither argument is given.

    It is read from a file or else from the store at an address.
    """
    if file is not None:
        return _read_file(file)
    if not address:
        return result.Success(None)
    reader = store.PlatformStore(address, exchange.Client(1))
    read = await reader.get(operator.CONFIG_KEY)
    if isinstance(read, result.Failure):
        return read
    entry = read.unwrap()
    return result.Success(queues.Catalog()) if entry is None else _decode(entry)


def _read_file(
    file: pathlib.Path,
) -> result.Result[queues.Catalog, failures.Problem]:
    read = files.read_json(file)
    if isinstance(read, result.Failure):
        return read
    return decode(read.unwrap()).alt(
        lambda found: failures.Invalid(
            message=f'{file}: {found.line()}', path=found.path
        )
    )


def _decode(
    entry: keyvalue.Entry,
) -> result.Result[queues.Catalog, failures.Invalid]:
    decoded = operator.decode(entry)
    if isinstance(decoded, result.Failure):
        return decoded
    catalog = decoded.unwrap()
    if isinstance(catalog, queues.Catalog):
        return result.Success(catalog)
    return result.Failure(
        failures.Invalid(message=f'{entry.key} is no catalog')
    )


def _to_finding(problem: failures.Problem) -> findings.Finding:
    match = paths.MSGSPEC_ERROR.match(problem.message)
    if match is None:
        return findings.error('', problem.message)
    path = (match['path'] or '').removeprefix('.')
    return findings.error(path, match['expected'])
