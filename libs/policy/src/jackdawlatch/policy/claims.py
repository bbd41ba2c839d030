"""Which jobs of a team lie within its share.

Load pattern: one team sends many times its usual rate.  A team claims at most
``weight`` jobs a second; its other jobs go behind the claims of all teams, so
that its flood delays itself only.
"""

import bisect

WINDOW_S = 1.0
# The clocks of hosts differ, so the times of acceptance are not in order.
KEPT_S = 8.0


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
        first = bisect.bisect_right(times_s, accepted_s - WINDOW_S)
        last = bisect.bisect_right(times_s, accepted_s)
        if last - first >= max(1, weight):
            return False
        times_s.insert(last, accepted_s)
        outdated = bisect.bisect_left(times_s, accepted_s - KEPT_S)
        self._times_s_by_team[team] = times_s[outdated:]
        return True
