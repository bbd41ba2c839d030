"""Reads a JSON file into a checked record."""

import pathlib
import re
from typing import ClassVar, TypeVar

import msgspec
from returns import result

from jackdawlatch.model import failures, records

Settings = TypeVar('Settings', bound=records.Record)

# msgspec ends each message with the path of the field, if there is one.
_MESSAGE = re.compile(r'^(?P<expected>.*?)(?: - at `\$(?P<path>[^`]*)`)?$')


class SettingsInvalid(failures.Invalid, frozen=True, kw_only=True):
    """A settings file can't be used; nothing was started."""

    code: ClassVar[str] = 'settings-invalid'

    file: str = ''


def load(
    path: str, settings_type: type[Settings]
) -> result.Result[Settings, SettingsInvalid]:
    """Return the checked settings of a file.

    The failure names the file, the field's path and what was expected.
    """
    try:
        content = pathlib.Path(path).read_bytes()
    except OSError as error:
        return result.Failure(
            SettingsInvalid(
                message=f'{path}: {error.strerror}',
                hint='give a readable file with --settings',
                file=path,
            )
        )
    return parse(content, settings_type, path)


def parse(
    content: bytes, settings_type: type[Settings], source: str
) -> result.Result[Settings, SettingsInvalid]:
    """Return checked settings from JSON; ``source`` is named in failures."""
    try:
        return result.Success(msgspec.json.decode(content, type=settings_type))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return result.Failure(_invalid(str(error), source))


def invalid(source: str, path: str, expected: str) -> SettingsInvalid:
    """Return the failure for one field of a file."""
    place = path or 'top level'
    return SettingsInvalid(
        message=f'{source}: {place}: {expected}',
        hint='correct the field and check again with --check',
        path=path,
        expected=expected,
        file=source,
    )


def _invalid(message: str, source: str) -> SettingsInvalid:
    match = _MESSAGE.match(message)
    path = (match and match['path']) or ''
    expected = (match and match['expected']) or message
    return invalid(source, path.removeprefix('.'), expected)
