"""Filters the headers that must not be forwarded."""

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
# The HTTP client sets Host and Content-Length; it must not act on Expect.
CLIENT_HEADERS = frozenset(('host', 'content-length', 'expect'))


def end_to_end(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return the end-to-end headers (RFC 9110, section 7.6.1)."""
    all_headers = tuple(headers)
    listed = {
        token.strip().lower()
        for name, text in all_headers
        if name.lower() == 'connection'
        for token in text.split(',')
    }
    hop_by_hop = HOP_BY_HOP | listed
    return tuple(
        pair for pair in all_headers if pair[0].lower() not in hop_by_hop
    )


def request_headers(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return the headers of a request to forward to a target."""
    return tuple(
        pair
        for pair in end_to_end(headers)
        if pair[0].lower() not in CLIENT_HEADERS
    )
