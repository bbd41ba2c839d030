"""Which jobs of a team lie within its share.

Load pattern: one team sends many times its usual rate.  A team claims at most
``weight`` jobs a second; its other jobs go behind the claims of all teams, so
that its flood delays itself only.
"""

import itertools
import math

WINDOW_S = 1.0
# The clocks of hosts differ, so the times of acceptance are not in order.  A job
# from a clock that is ahead by less than this drops no claims of others.
KEPT_S = 60.0


class Claims:
    """The latest claims of each team."""

    def __init__(self) -> None:
        # In ascending order, since a leader that begins counts all jobs.
        self._times_s_by_team: dict[str, list[float]] = {}

    def claim(self, team: str, weight: float, accepted_s: float) -> bool:
        """Return whether a job lies within the share of its team.

        Jobs are passed in the order in which they were stored, each with the
        time on the clock of the host that accepted it.  So each leader decides
        alike, whenever it learns of a job.
        """
        times_s = self._times_s_by_team.setdefault(team, [])
        # Few are later: only those of hosts whose clocks are ahead.
        later = itertools.takewhile(
            lambda time_s: time_s > accepted_s, reversed(times_s)
        )
        end = len(times_s) - sum(1 for _ in later)
        first = end - math.ceil(max(1, weight))
        if first >= 0 and times_s[first] > accepted_s - WINDOW_S:
            return False
        times_s.insert(end, accepted_s)
        while times_s[0] < accepted_s - KEPT_S:
            times_s.pop(0)
        return True
