"""Reads the stored configuration and membership, for checks."""

import collections

from jackdawlatch.model import hosts, keys, presets, records
from jackdawlatch.standins import waiting
from jackdawlatch.store import keyvalue

MEMBERSHIP_KEY = f'{keys.MEMBERSHIP_PREFIX}main'


async def read_configuration(store: keyvalue.Store) -> presets.Configuration:
    """Return the stored configuration, an empty one if it can't be read."""
    found = (await store.get(keys.CONFIG)).value_or(None)
    if found is None:
        return presets.Configuration()
    return records.decode(found.value, presets.Configuration)


async def read_membership(store: keyvalue.Store) -> hosts.Membership:
    """Return the stored membership, an empty one if it can't be read."""
    found = (await store.get(MEMBERSHIP_KEY)).value_or(None)
    if found is None:
        return hosts.Membership()
    return records.decode(found.value, hosts.Membership)


async def wait_until_filled(store: keyvalue.Store, timeout_s: float) -> bool:
    """Wait until all pools are filled; return whether they are in time."""
    return await waiting.until(lambda: are_filled(store), timeout_s)


async def are_filled(store: keyvalue.Store) -> bool:
    """Return whether each pool has as many active hosts as its target."""
    wanted = (await read_configuration(store)).preset.pools_by_name
    active = collections.Counter(
        assignment.pool
        for assignment in (
            await read_membership(store)
        ).assignments_by_host.values()
        if assignment.phase is hosts.Phase.ACTIVE
    )
    return bool(wanted) and all(
        active[pool] >= target.hosts for pool, target in wanted.items()
    )
