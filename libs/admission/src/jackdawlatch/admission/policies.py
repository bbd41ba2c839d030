"""The admission policies, by the names that presets use for them."""

import types
from collections.abc import Mapping

from jackdawlatch.admission import fair, ordered, policy
from jackdawlatch.model import presets

POLICIES_BY_NAME: Mapping[str, type[policy.Policy]] = types.MappingProxyType(
    {'fair': fair.Fair, 'fifo': ordered.Fifo, 'strict': ordered.Strict},
)


def create(preset: presets.Preset, capacity: int = 0) -> policy.Policy:
    """Return a new policy of the type that a preset names.

    Raises ``KeyError`` if there is no policy of that name.
    """
    return POLICIES_BY_NAME[preset.admission](preset, capacity)
