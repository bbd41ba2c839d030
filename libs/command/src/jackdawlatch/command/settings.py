"""The settings of the command line."""

from typing import Annotated

import msgspec

from jackdawlatch.model import presets, records
from jackdawlatch.settings import daemons

MAX_TIMEOUT_S = 60


class Operator(records.StrictRecord, frozen=True, kw_only=True):
    """Addresses of the store and the daemons, and the shard to work on.

    ``operations_addresses`` are queried for the live daemons while the
    store is unavailable.  ``timeout_s`` limits each request to a daemon.
    """

    store_addresses: Annotated[
        tuple[daemons.BaseUrl, ...], msgspec.Meta(min_length=1)
    ]
    operations_addresses: tuple[daemons.Address, ...] = ()
    shard: presets.Name = 'main'
    timeout_s: Annotated[float, msgspec.Meta(gt=0, le=MAX_TIMEOUT_S)] = 5
