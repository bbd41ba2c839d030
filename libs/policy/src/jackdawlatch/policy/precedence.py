"""Which of the waiting jobs gets capacity first.

Load pattern: demand beyond the fleet, bursts of several queues at once, and a
flood of one team.  What is delayed is what costs callers least: first what a
team sent beyond its share, then what is late, then the less urgent; among equal
jobs that whose value for each unit of work is least, as long as it can wait.
"""

import dataclasses
import math

# The value of a job to its caller, relative to one of the mean work of its queue.
BASE_VALUE = 0.3
VALUE_PER_WORK = 0.7
# A job whose objective leaves this time counts about a third of one that would
# be late without capacity now: about as long as a job of two short steps takes.
LOOKAHEAD_S = 4.0
# Lateness up to which a job still has some value, in objectives.
USEFUL_OBJECTIVES = 3
LEAST_WORK = 1e-6


@dataclasses.dataclass(frozen=True)
class Candidate:
    """A job with tasks that may start.

    ``slack_s`` is how long it may wait without missing its objective of
    ``objective_s``.  ``work`` is what is left of ``total_work``, and
    ``mean_work`` the mean of its queue, all in the same unit.
    """

    lasting: bool
    within_share: bool
    priority: int
    slack_s: float
    objective_s: float
    work: float
    total_work: float
    mean_work: float

    @property
    def late(self) -> bool:
        """Whether it misses its objective even if it starts now."""
        return not self.lasting and self.slack_s < 0

    @property
    def lateness_rank(self) -> int:
        """0 in time, 1 late, 2 too late to be of any value."""
        useful_s = (USEFUL_OBJECTIVES - 1) * self.objective_s
        return self.late + (self.late and self.slack_s < -useful_s)


def key(candidate: Candidate) -> tuple[float, ...]:
    """Return the sort key of a job; the lowest goes first."""
    return (
        not candidate.lasting,
        not candidate.within_share,
        candidate.lateness_rank,
        candidate.priority,
        -_urgency(candidate),
    )


def _urgency(candidate: Candidate) -> float:
    """Return the value for each unit of work, less for jobs that can wait."""
    mean_work = max(candidate.mean_work, LEAST_WORK)
    value = BASE_VALUE + VALUE_PER_WORK * candidate.total_work / mean_work
    work = max(candidate.work / mean_work, LEAST_WORK)
    return value / work * math.exp(-max(0, candidate.slack_s) / LOOKAHEAD_S)
