"""Base class of every record that is stored or sent."""

import zlib
from typing import Any, TypeVar

import msgspec

PACK_FROM_BYTES = 2048
PACK_LEVEL = 1
PACK_MAGIC = b'\x78'


class Record(msgspec.Struct, frozen=True, kw_only=True):
    """A frozen data class that msgspec can encode and check.

    Unknown fields are ignored, so that processes of two releases can talk.
    """


class StrictRecord(
    Record, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A record written by a person: an unknown field is an error."""


class Versioned(Record, frozen=True, kw_only=True):
    """The value of a key that is edited by compare-and-swap.

    ``version`` grows by one with each write; ``edit_id`` is that of the last
    write and ``recent_edit_ids`` lists the latest ones, oldest first.
    """

    version: int = 0
    edit_id: str = ''
    recent_edit_ids: tuple[str, ...] = ()


RecordType = TypeVar('RecordType', bound=Record)


def replace(record: RecordType, **changes: Any) -> RecordType:
    """Return a copy of a record with some fields changed."""
    return msgspec.structs.replace(record, **changes)


def encode(record: Record) -> bytes:
    """Return the stored form of a record."""
    return msgspec.msgpack.encode(record)


def pack(record: Record) -> bytes:
    """Return the stored form of a record, compressed if it is large."""
    plain = encode(record)
    if len(plain) < PACK_FROM_BYTES:
        return plain
    return zlib.compress(plain, PACK_LEVEL)


def decode(content: bytes, record_type: type[RecordType]) -> RecordType:
    """Return a checked record from its stored form, packed or not.

    Raises ``msgspec.DecodeError`` when it does not fit.
    """
    plain = _unpack(content) if _is_packed(content) else content
    return msgspec.msgpack.decode(plain, type=record_type)


def _unpack(content: bytes) -> bytes:
    try:
        return zlib.decompress(content)
    except zlib.error as error:
        raise msgspec.DecodeError(str(error)) from error


def _is_packed(content: bytes) -> bool:
    # A record is a msgpack map, whose first byte is 0x80 or above.
    return content.startswith(PACK_MAGIC)
