"""Base classes of the records that are stored or sent, and their encoding."""

import zlib
from typing import Any, TypeVar

import msgspec

from jackdawlatch.model import decoding

COMPRESSION_THRESHOLD_BYTES = 2048
COMPRESSION_LEVEL = 1
ZLIB_MAGIC = b'\x78'


class Record(msgspec.Struct, frozen=True, kw_only=True):
    """A frozen data class that msgspec can encode and check.

    Unknown fields are ignored, so that processes of different releases can
    exchange records.
    """


class StrictRecord(
    Record, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A record that people write: an unknown field is an error."""


class Versioned(Record, frozen=True, kw_only=True):
    """The value of a key that is edited by compare-and-swap.

    ``version`` grows by one with each write.  ``edit_id`` identifies the last
    write, and ``recent_edit_ids`` the most recent ones, oldest first.
    """

    version: int = 0
    edit_id: str = ''
    recent_edit_ids: tuple[str, ...] = ()


RecordType = TypeVar('RecordType', bound=Record)


def replace(record: RecordType, **changes: Any) -> RecordType:
    """Return a copy of a record with some fields changed."""
    return msgspec.structs.replace(record, **changes)


def encode(record: Record) -> bytes:
    """Return a record as msgpack."""
    return msgspec.msgpack.encode(record)


def pack(record: Record) -> bytes:
    """Return a record as msgpack, compressed if it is large."""
    plain = encode(record)
    if len(plain) < COMPRESSION_THRESHOLD_BYTES:
        return plain
    return zlib.compress(plain, COMPRESSION_LEVEL)


def decode(content: bytes, record_type: type[RecordType]) -> RecordType:
    """Return the validated record from its msgpack, compressed or not.

    Raises ``msgspec.DecodeError`` if the content is not such a record.
    """
    plain = _decompress(content) if _is_compressed(content) else content
    return decoding.from_msgpack(plain, record_type)


def _decompress(content: bytes) -> bytes:
    try:
        return zlib.decompress(content)
    except zlib.error as error:
        raise msgspec.DecodeError(str(error)) from error


def _is_compressed(content: bytes) -> bool:
    # A plain record is a msgpack map, whose first byte is 0x80 or above.
    return content.startswith(ZLIB_MAGIC)
