"""Loads a JSON settings file into a validated record."""

import pathlib
import re
from typing import ClassVar, TypeVar

import msgspec
from returns import result

from jackdawlatch.model import decoding, failures, records

Settings = TypeVar('Settings', bound=records.Record)

# A message of msgspec ends with the path of the field, if it concerns one.
_MSGSPEC_MESSAGE = re.compile(
    r'^(?P<expected>.*?)(?: - at `\$(?P<path>[^`]*)`)?$'
)


class SettingsInvalid(failures.Invalid, frozen=True, kw_only=True):
    """A settings file can't be read or is not valid; nothing was started."""

    code: ClassVar[str] = 'settings-invalid'

    file: str = ''


def load(
    path: str, settings_type: type[Settings]
) -> result.Result[Settings, SettingsInvalid]:
    """Return the validated settings in a file.

    The failure names the file and the field's path, and describes a valid
    value.
    """
    try:
        content = pathlib.Path(path).read_bytes()
    except OSError as error:
        return result.Failure(
            SettingsInvalid(
                message=f'{path}: {error.strerror}',
                hint='pass a readable file with --settings',
                file=path,
            )
        )
    return parse(content, settings_type, path)


def parse(
    content: bytes, settings_type: type[Settings], source: str
) -> result.Result[Settings, SettingsInvalid]:
    """Return validated settings from JSON; failures name ``source``."""
    try:
        return result.Success(decoding.from_json(content, settings_type))
    except msgspec.DecodeError as error:
        return result.Failure(_from_msgspec(str(error), source))


def invalid(source: str, path: str, expected: str) -> SettingsInvalid:
    """Return the failure for a field; ``expected`` describes a valid value."""
    location = path or 'top level'
    return SettingsInvalid(
        message=f'{source}: {location}: {expected}',
        hint='correct the field, then verify the file with --check',
        path=path,
        expected=expected,
        file=source,
    )


def _from_msgspec(message: str, source: str) -> SettingsInvalid:
    match = _MSGSPEC_MESSAGE.match(message)
    path = (match and match['path']) or ''
    expected = (match and match['expected']) or message
    return invalid(source, path.removeprefix('.'), expected)
