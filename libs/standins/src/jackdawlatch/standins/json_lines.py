"""Files of JSON records, one a line, that outlive a killed process."""

import pathlib
from typing import BinaryIO, TypeVar

import msgspec

from jackdawlatch.model import records

RecordType = TypeVar('RecordType', bound=records.Record)


class JsonLinesWriter:
    """Appends records to a file; with no path it does nothing."""

    def __init__(self, path: str = '') -> None:
        self._file: BinaryIO | None = None
        if path:
            self._file = pathlib.Path(path).open('ab', buffering=0)

    def append(self, record: records.Record) -> None:
        """Hand a record over to the operating system."""
        if self._file:
            self._file.write(b'%b\n' % msgspec.json.encode(record))


def read(
    path: pathlib.Path, record_type: type[RecordType]
) -> tuple[RecordType, ...]:
    """Return the records of a file, none if there is no file."""
    if not path.exists():
        return ()
    return tuple(
        msgspec.json.decode(line, type=record_type)
        for line in path.read_bytes().splitlines()
    )
