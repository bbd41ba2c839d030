"""Size limits of the platform's key-value service."""

from typing import ClassVar

from jackdawlatch.store import keyvalue

MAX_VALUE_BYTES = 1024 * 1024


class TooLarge(keyvalue.Unavailable, frozen=True, kw_only=True):
    """The value is over ``MAX_VALUE_BYTES``; nothing was written."""

    code: ClassVar[str] = 'store-too-large'


def too_large(key: str, content: bytes) -> TooLarge:
    """Return the failure for a value that is over the limit."""
    return TooLarge(message=f'{key}: value too large: {len(content)} bytes')
