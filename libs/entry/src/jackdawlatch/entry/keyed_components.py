"""Builds the components that handle keyed requests."""

import dataclasses

from jackdawlatch.entry import (
    forwarding,
    intent_store,
    keyed_requests,
    ownership,
    settings,
    shared_dependencies,
)
from jackdawlatch.store import keyvalue

MILLISECONDS_PER_SECOND = 1000


@dataclasses.dataclass(frozen=True)
class KeyedComponents:
    """The components that handle keyed requests, here or at another entry."""

    ownership: ownership.Ownership
    requests: keyed_requests.KeyedRequests
    forwarder: forwarding.Forwarder

    @property
    def in_flight(self) -> int:
        """Return the keyed requests in progress, forwarded ones included."""
        return self.forwarder.serving + self.requests.in_flight


def build(
    dependencies: shared_dependencies.Dependencies,
    store: keyvalue.Store,
    own_settings: settings.Entry,
    send: keyed_requests.Send,
) -> KeyedComponents:
    """Return the components; their background loops are not started."""
    buckets = [
        intent_store.IntentStore(
            store,
            number,
            dependencies.clock,
            own_settings.intent_window_ms / MILLISECONDS_PER_SECOND,
        )
        for number in range(own_settings.intent_buckets)
    ]
    bucket_ownership = ownership.Ownership(dependencies, buckets)
    local_requests = keyed_requests.KeyedRequests(
        dependencies,
        buckets,
        send,
        own_settings.key_window_s,
        bucket_ownership.knows_all_attempts,
    )
    return KeyedComponents(
        bucket_ownership,
        local_requests,
        forwarding.Forwarder(dependencies, bucket_ownership, local_requests),
    )
