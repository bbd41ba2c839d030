"""The settings of an operator's shell."""

from typing import Annotated

import msgspec

from jackdawlatch.model import presets, records
from jackdawlatch.settings import daemons

MAX_TIMEOUT_S = 60


class Operator(records.StrictRecord, frozen=True, kw_only=True):
    """Where the store and the daemons are.

    ``operations_addresses`` are asked for the live daemons while the store
    is away.
    """

    store_addresses: Annotated[
        tuple[daemons.BaseUrl, ...], msgspec.Meta(min_length=1)
    ]
    operations_addresses: tuple[daemons.Address, ...] = ()
    shard: presets.Name = 'main'
    timeout_s: Annotated[float, msgspec.Meta(gt=0, le=MAX_TIMEOUT_S)] = 5
