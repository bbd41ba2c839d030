"""Wires the parts that take keyed requests."""

import dataclasses

from jackdawlatch.entry import (
    forwarding,
    intents,
    keyed,
    ownership,
    settings,
    surroundings,
)
from jackdawlatch.store import keyvalue

MILLISECONDS = 1000


@dataclasses.dataclass(frozen=True)
class KeyedParts:
    """What takes keyed requests, at this entry and through it."""

    ownership: ownership.Ownership
    keyed: keyed.Keyed
    forwarder: forwarding.Forwarder

    @property
    def in_flight(self) -> int:
        """How many keyed requests this entry works on, for any caller."""
        return self.forwarder.serving + self.keyed.in_flight


def build(
    around: surroundings.Surroundings,
    store: keyvalue.Store,
    own_settings: settings.Entry,
    send: keyed.Send,
) -> KeyedParts:
    """Return the wired parts; nothing is started yet."""
    buckets = [
        intents.Intents(
            store,
            number,
            around.clock,
            own_settings.intent_window_ms / MILLISECONDS,
        )
        for number in range(own_settings.intent_buckets)
    ]
    owned = ownership.Ownership(around, buckets)
    own = keyed.Keyed(
        around, buckets, send, own_settings.key_window_s, owned.vouches
    )
    return KeyedParts(owned, own, forwarding.Forwarder(around, owned, own))
