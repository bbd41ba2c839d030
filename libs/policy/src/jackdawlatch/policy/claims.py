"""Which jobs of a team lie within its share.

Load pattern: one team sends many times its usual rate.  A team claims at most
``weight`` jobs a second; its other jobs go behind the claims of all teams, so
that its flood delays itself only.
"""

import collections

WINDOW_S = 1.0


class Claims:
    """The claims of each team in the last second."""

    def __init__(self) -> None:
        self._times_s_by_team: dict[str, collections.deque[float]] = {}

    def claim(self, team: str, weight: float, accepted_s: float) -> bool:
        """Return whether a job lies within the share of its team.

        Jobs are passed in the order in which they were accepted.
        """
        times_s = self._times_s_by_team.setdefault(team, collections.deque())
        while times_s and times_s[0] <= accepted_s - WINDOW_S:
            times_s.popleft()
        if len(times_s) >= max(1, weight):
            return False
        times_s.append(accepted_s)
        return True
