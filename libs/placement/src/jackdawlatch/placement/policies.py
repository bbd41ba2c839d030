"""The planners that a preset can name."""

import types
from collections.abc import Mapping

from jackdawlatch.placement import planners, preempt, queue

_PLANNERS_BY_NAME: Mapping[str, type[planners.Planner]] = (
    types.MappingProxyType(
        {
            'preempt': preempt.PreemptPlanner,
            'queue': queue.QueuePlanner,
        }
    )
)


def names() -> tuple[str, ...]:
    """Return the names of all planners, for the check of presets."""
    return tuple(_PLANNERS_BY_NAME)


def create(name: str) -> planners.Planner:
    """Return a new planner, the default one for an unknown name."""
    return _PLANNERS_BY_NAME.get(name, preempt.PreemptPlanner)()
