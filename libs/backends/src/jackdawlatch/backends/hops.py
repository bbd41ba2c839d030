"""Which headers belong to one connection and must not be passed on."""

from collections.abc import Iterable

Headers = tuple[tuple[str, str], ...]

HOP_BY_HOP = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
# The client sets these itself, or must never be asked to act on them.
OF_THE_CLIENT = frozenset(('host', 'content-length', 'expect'))


def end_to_end(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return the headers that are meant for the far end (RFC 9110, 7.6.1)."""
    kept = tuple(headers)
    named = {
        token.strip().lower()
        for name, text in kept
        if name.lower() == 'connection'
        for token in text.split(',')
    }
    dropped = HOP_BY_HOP | named
    return tuple(pair for pair in kept if pair[0].lower() not in dropped)


def to_target(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return the headers of a request that a target may be sent."""
    return tuple(
        pair
        for pair in end_to_end(headers)
        if pair[0].lower() not in OF_THE_CLIENT
    )
