"""Which jobs of a team lie within its share.

Load pattern: one team sends many times its usual rate.  A team claims at most
``weight`` jobs a second; its other jobs go behind the claims of all teams, so
that its flood delays itself only.
"""

import collections

WINDOW_S = 1.0
# The clocks of hosts differ, so the times of acceptance are not in order.
KEPT_WINDOWS = 8


class Claims:
    """The latest claims of each team."""

    def __init__(self) -> None:
        self._times_s_by_team: dict[str, collections.deque[float]] = {}

    def claim(self, team: str, weight: float, accepted_s: float) -> bool:
        """Return whether a job lies within the share of its team.

        Jobs are passed in the order in which they were stored, each with the
        time on the clock of the host that accepted it.  So each leader decides
        alike, whenever it learns of a job.
        """
        times_s = self._times_s_by_team.setdefault(team, collections.deque())
        most = max(1, weight)
        begun_s = accepted_s - WINDOW_S
        if sum(begun_s < time_s <= accepted_s for time_s in times_s) >= most:
            return False
        times_s.append(accepted_s)
        if len(times_s) > KEPT_WINDOWS * most:
            times_s.popleft()
        return True
