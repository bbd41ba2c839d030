"""Interface of planners.

A planner decides which jobs start where and which tasks are preempted.  It is
a pure function of a ``Snapshot``.  The preset selects the planner by name.
"""

import abc

from jackdawlatch.placement import decisions, snapshots


class Planner(abc.ABC):
    """Decides what to do in one round."""

    @abc.abstractmethod
    def plan(
        self, snapshot: snapshots.Snapshot
    ) -> tuple[decisions.Decision, ...]:
        """Return the decisions of a round in the order of execution."""
