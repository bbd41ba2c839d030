"""JSON Lines files, written so that they survive a killed process."""

import pathlib
from typing import BinaryIO, TypeVar

import msgspec

from jackdawlatch.model import records

RecordType = TypeVar('RecordType', bound=records.Record)


class JsonLinesWriter:
    """Appends records to a file; without a path it does nothing."""

    def __init__(self, path: str = '') -> None:
        self._file: BinaryIO | None = None
        if path:
            self._file = pathlib.Path(path).open('ab', buffering=0)

    def append(self, record: records.Record) -> None:
        """Write a record, unbuffered."""
        if self._file:
            self._file.write(b'%b\n' % msgspec.json.encode(record))


def read(
    path: pathlib.Path, record_type: type[RecordType]
) -> tuple[RecordType, ...]:
    """Return the records of a file, none if the file does not exist."""
    if not path.exists():
        return ()
    return tuple(
        msgspec.json.decode(line, type=record_type)
        for line in path.read_bytes().splitlines()
    )
