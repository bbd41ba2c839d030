"""Wire format of peer calls: msgpack frames, typed by a record's name."""

import enum
from typing import Any, ClassVar

import msgspec

from jackdawlatch.model import failures, records


class FrameType(enum.IntEnum):
    """The role of a frame in an exchange."""

    CALL = 0
    REPLY = 1
    FAILURE = 2


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """One message; a reply has the ``exchange`` number of its call.

    ``stamp`` is the sender's hybrid logical time.
    """

    type: FrameType
    exchange: int
    name: str
    stamp: tuple[int, int, str]
    body: Any


class Unreachable(failures.Problem, frozen=True, kw_only=True):
    """No byte of the call was sent, so it was not run."""

    code: ClassVar[str] = 'peer-unreachable'


class Unanswered(failures.Problem, frozen=True, kw_only=True):
    """The call got no usable reply; the peer may have run it."""

    code: ClassVar[str] = 'peer-unanswered'


class Refused(failures.Problem, frozen=True, kw_only=True):
    """The peer could not understand or handle the call, and did not run it."""

    code: ClassVar[str] = 'peer-refused'


CallFailure = Unreachable | Unanswered | Refused


def encode(frame: Frame) -> bytes:
    """Return the bytes of a frame."""
    return msgspec.msgpack.encode(frame)


def decode(encoded: bytes) -> Frame:
    """Return the frame that ``encoded`` holds.

    Raises ``msgspec.DecodeError`` or ``RecursionError`` if it is malformed.
    """
    return msgspec.msgpack.decode(encoded, type=Frame)


def body_of(record: records.Record) -> Any:
    """Return a record as built-in types, for the body of a frame."""
    return msgspec.to_builtins(record, builtin_types=(bytes,))
