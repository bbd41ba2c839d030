"""Configurations and their parts as JSON files."""

import pathlib
from typing import ClassVar, TypeVar

import msgspec
from returns import result

from jackdawlatch.config import paths
from jackdawlatch.model import failures, records

RecordType = TypeVar('RecordType', bound=records.Record)


class FileInvalid(failures.Invalid, frozen=True, kw_only=True):
    """A file does not hold what it should; nothing was changed."""

    code: ClassVar[str] = 'file-invalid'

    file: str


def read(
    file: pathlib.Path, record_type: type[RecordType]
) -> result.Result[RecordType, FileInvalid]:
    """Return the checked record that a JSON file holds."""
    try:
        plain = msgspec.json.decode(file.read_bytes())
    except OSError as error:
        return _failure(file, '', f'a readable file ({error.strerror})')
    except msgspec.DecodeError as error:
        return _failure(file, '', f'JSON ({error})')
    converted = paths.convert(plain, record_type)
    if isinstance(converted, result.Failure):
        fault = converted.failure()
        return _failure(file, fault.path, fault.expected)
    return result.Success(converted.unwrap())


def write(
    file: pathlib.Path, record: records.Record
) -> result.Result[None, FileInvalid]:
    """Write a record as indented JSON."""
    text = msgspec.json.format(msgspec.json.encode(record), indent=2)
    try:
        file.write_bytes(b'%b\n' % text)
    except OSError as error:
        return _failure(file, '', f'a writable file ({error.strerror})')
    return result.Success(None)


def _failure(
    file: pathlib.Path, path: str, expected: str
) -> result.Failure[FileInvalid]:
    place = f'{file}: {path}' if path else str(file)
    return result.Failure(
        FileInvalid(
            message=f'{place}: {expected}',
            file=str(file),
            path=path,
            expected=expected,
        )
    )
