"""Base class of every record that is stored or sent."""

from typing import Any, TypeVar

import msgspec


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


def decode(content: bytes, record_type: type[RecordType]) -> RecordType:
    """Return a checked record from its stored form.

    Raises ``msgspec.ValidationError`` when it does not fit.
    """
    return msgspec.msgpack.decode(content, type=record_type)
