"""Reads and writes configurations and their parts as JSON files."""

import pathlib
from typing import ClassVar, TypeVar

import msgspec
from returns import result

from jackdawlatch.config import paths
from jackdawlatch.model import decoding, failures, records

RecordType = TypeVar('RecordType', bound=records.Record)


class FileInvalid(failures.Invalid, frozen=True, kw_only=True):
    """A file can't be read or written, or its content is not valid."""

    code: ClassVar[str] = 'file-invalid'

    file: str


def read(
    file: pathlib.Path, record_type: type[RecordType]
) -> result.Result[RecordType, FileInvalid]:
    """Return the validated record in a JSON file."""
    json_value = read_json(file)
    if isinstance(json_value, result.Failure):
        return json_value
    converted = paths.convert(json_value.unwrap(), record_type)
    if isinstance(converted, result.Failure):
        failure = converted.failure()
        return _failure(file, failure.path, failure.expected)
    return result.Success(converted.unwrap())


def read_json(file: pathlib.Path) -> result.Result[object, FileInvalid]:
    """Return the content of a JSON file."""
    try:
        return result.Success(decoding.from_json(file.read_bytes(), object))
    except OSError as error:
        return _failure(
            file, '', f'expected a readable file ({error.strerror})'
        )
    except msgspec.DecodeError as error:
        return _failure(file, '', f'expected JSON ({error})')


def write(
    file: pathlib.Path, record: records.Record
) -> result.Result[None, FileInvalid]:
    """Write a record as indented JSON."""
    text = msgspec.json.format(msgspec.json.encode(record), indent=2)
    try:
        file.write_bytes(b'%b\n' % text)
    except OSError as error:
        return _failure(
            file, '', f'expected a writable file ({error.strerror})'
        )
    return result.Success(None)


def _failure(
    file: pathlib.Path, path: str, expected: str
) -> result.Failure[FileInvalid]:
    location = f'{file}: {path}' if path else str(file)
    return result.Failure(
        FileInvalid(
            message=f'{location}: {expected}',
            file=str(file),
            path=path,
            expected=expected,
        )
    )
