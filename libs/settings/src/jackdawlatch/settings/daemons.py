"""The settings that all daemons share."""

import itertools
from typing import Annotated

import msgspec
from returns import result

from jackdawlatch.model import presets, records
from jackdawlatch.settings import loading

MAX_DELAY_MS = 1000
MIN_TTL_S = 0.5
MAX_TTL_S = 60

Address = Annotated[
    str, msgspec.Meta(pattern=r'^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$')
]
BaseUrl = Annotated[str, msgspec.Meta(pattern='^https?://[^/]+$')]


class Daemon(records.StrictRecord, frozen=True, kw_only=True):
    """Addresses, availability zone and store of one process.

    ``seed_addresses`` are peers to contact while the store is unavailable.
    ``peer_delay_ms`` is added to each frame sent to a peer, to simulate the
    distance between zones on one machine.  ``strict_invariants`` raises an
    error when an invariant is violated, instead of only counting it.
    """

    id: presets.Name
    zone: presets.Name
    shard: presets.Name = 'main'
    peer_address: Address
    operations_address: Address
    store_addresses: Annotated[tuple[BaseUrl, ...], msgspec.Meta(min_length=1)]
    seed_addresses: tuple[Address, ...] = ()
    lease_ttl_s: Annotated[float, msgspec.Meta(ge=MIN_TTL_S, le=MAX_TTL_S)] = 6
    peer_delay_ms: Annotated[float, msgspec.Meta(ge=0, le=MAX_DELAY_MS)] = 0
    strict_invariants: bool = False

    def addresses_by_field(self) -> dict[str, str]:
        """Return the listening addresses by the names of their fields."""
        return {
            'peer_address': self.peer_address,
            'operations_address': self.operations_address,
        }


def check(
    settings: Daemon, source: str
) -> result.Result[Daemon, loading.SettingsInvalid]:
    """Check that no two listening addresses are the same.

    ``source`` is the name of the settings file in the failure.
    """
    pairs = itertools.combinations(settings.addresses_by_field().items(), 2)
    for (first, address), (second, other) in pairs:
        if address == other:
            return result.Failure(
                loading.invalid(
                    source,
                    second,
                    f'expected an address other than that of {first}',
                )
            )
    return result.Success(settings)
