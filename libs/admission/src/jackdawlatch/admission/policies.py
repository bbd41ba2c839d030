"""The registry of admission policies, by the names that presets use."""

import types
from collections.abc import Mapping

from jackdawlatch.admission import fair, ordered, queues
from jackdawlatch.model import presets

POLICIES_BY_NAME: Mapping[str, type[queues.Policy]] = types.MappingProxyType(
    {'fair': fair.Fair, 'fifo': ordered.Fifo, 'strict': ordered.Strict},
)


def create(preset: presets.Preset, capacity: int = 0) -> queues.Policy:
    """Return the policy that a preset names; ``KeyError`` if unknown."""
    return POLICIES_BY_NAME[preset.admission](preset, capacity)
