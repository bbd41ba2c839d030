"""Planners: which job starts where, and what makes way.

A planner is pure: it sees a ``Situation`` and returns decisions.  The preset
names one of them.
"""

import abc

from jackdawlatch.placement import decisions, situation


class Planner(abc.ABC):
    """Decides what to do in one round."""

    @abc.abstractmethod
    def plan(self, seen: situation.Situation) -> tuple[decisions.Decision, ...]:
        """Return the decisions of a round, in the order to carry out."""
