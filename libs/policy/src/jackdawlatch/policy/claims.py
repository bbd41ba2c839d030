"""Which jobs of a team lie within its share.

Load pattern: one team sends many times its usual rate.  A team claims at most
``weight`` jobs a second; its other jobs go behind the claims of all teams, so
that its flood delays itself only.
"""

import bisect
import collections

WINDOW_S = 1.0
# The clocks of hosts differ, so the times of acceptance are not in order.
KEPT_WINDOWS = 8


class Claims:
    """The latest claims of each team."""

    def __init__(self) -> None:
        self._claimed_by_team: dict[str, _Claimed] = {}

    def claim(self, team: str, weight: float, accepted_s: float) -> bool:
        """Return whether a job lies within the share of its team.

        Jobs are passed in the order in which they were stored, each with the
        time on the clock of the host that accepted it.  So each leader decides
        alike, whenever it learns of a job.
        """
        claimed = self._claimed_by_team.setdefault(team, _Claimed())
        most = max(1, weight)
        if claimed.count(accepted_s) >= most:
            return False
        claimed.add(accepted_s, KEPT_WINDOWS * most)
        return True


class _Claimed:
    """The times of the latest claims of a team."""

    def __init__(self) -> None:
        self._sorted_s: list[float] = []
        self._latest_s: collections.deque[float] = collections.deque()

    def count(self, accepted_s: float) -> int:
        """Return the number of claims in the window that ends at a time."""
        first = bisect.bisect_right(self._sorted_s, accepted_s - WINDOW_S)
        return bisect.bisect_right(self._sorted_s, accepted_s) - first

    def add(self, accepted_s: float, kept: float) -> None:
        """Add a claim; forget the earliest ones beyond ``kept``."""
        bisect.insort(self._sorted_s, accepted_s)
        self._latest_s.append(accepted_s)
        while len(self._latest_s) > kept:
            earliest_s = self._latest_s.popleft()
            self._sorted_s.pop(bisect.bisect_left(self._sorted_s, earliest_s))
