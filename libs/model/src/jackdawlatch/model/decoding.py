"""Decoding of what others wrote; each input that is not valid is an error.

msgspec raises ``RecursionError`` for input that is nested more deeply than the
interpreter allows, even below a field that is ignored.
"""

from collections.abc import Callable
from typing import Any, TypeVar

import msgspec

Decoded = TypeVar('Decoded')


def from_json(content: bytes | str, expected_type: type[Decoded]) -> Decoded:
    """Return the validated value; raises ``msgspec.DecodeError``."""
    return _validate(msgspec.json.decode, content, expected_type)


def from_msgpack(content: bytes, expected_type: type[Decoded]) -> Decoded:
    """Return the validated value; raises ``msgspec.DecodeError``."""
    return _validate(msgspec.msgpack.decode, content, expected_type)


def _validate(
    decode: Callable[..., Any], content: Any, expected_type: type[Decoded]
) -> Decoded:
    try:
        decoded: Decoded = decode(content, type=expected_type)
    except RecursionError as error:
        raise msgspec.ValidationError('Expected less nesting') from error
    except UnicodeDecodeError as error:
        raise msgspec.DecodeError(str(error)) from error
    return decoded
