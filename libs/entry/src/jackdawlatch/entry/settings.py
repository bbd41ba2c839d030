"""The settings of an entry."""

from typing import Annotated

import msgspec

from jackdawlatch.settings import daemons

MAX_BODY_BYTES = 2 * 1024 * 1024
MAX_BUCKETS = 1024
MAX_INTENT_WINDOW_MS = 1000
MAX_KEY_WINDOW_S = 86_400
MAX_DRAIN_DELAY_S = 60
MIN_CLIENTS_MB = 4


class Entry(daemons.Daemon, frozen=True, kw_only=True):
    """The settings of a daemon that serves callers at ``http_address``.

    Request bodies are buffered, up to ``body_limit_bytes``.
    ``intent_buckets`` must be the same at every entry.  An intent waits for
    ``intent_window_ms`` for others that can share its write.  An idempotency
    key is kept for ``key_window_s`` after its request has ended.  New
    connections are accepted for ``drain_delay_s`` after a stop is requested.
    Callers have ``clients_mb`` for requests that are read or handled, and
    ``max_connections``.
    """

    http_address: daemons.Address
    body_limit_bytes: Annotated[int, msgspec.Meta(ge=1, le=MAX_BODY_BYTES)] = (
        1024 * 1024
    )
    intent_buckets: Annotated[int, msgspec.Meta(ge=1, le=MAX_BUCKETS)] = 32
    intent_window_ms: Annotated[
        float, msgspec.Meta(ge=0, le=MAX_INTENT_WINDOW_MS)
    ] = 5
    key_window_s: Annotated[float, msgspec.Meta(ge=1, le=MAX_KEY_WINDOW_S)] = (
        600
    )
    drain_delay_s: Annotated[
        float, msgspec.Meta(ge=0, le=MAX_DRAIN_DELAY_S)
    ] = 1

    clients_mb: Annotated[int, msgspec.Meta(ge=MIN_CLIENTS_MB)] = 256
    max_connections: Annotated[int, msgspec.Meta(ge=1)] = 4000

    def addresses_by_field(self) -> dict[str, str]:
        """Return the addresses that this process listens on, by setting."""
        return {
            **super().addresses_by_field(),
            'http_address': self.http_address,
        }
