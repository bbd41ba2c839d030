"""Planners by the name that a preset gives."""

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
    """Return the names of all planners, to check presets."""
    return tuple(_PLANNERS_BY_NAME)


def create(name: str) -> planners.Planner:
    """Return a planner; an unknown name gives the default one."""
    return _PLANNERS_BY_NAME.get(name, preempt.PreemptPlanner)()
