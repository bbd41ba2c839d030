"""How long a healthy run may show no progress.

Load pattern: tasks of seconds, whose progress in whole percents changes with
each look, beside a few that take minutes for each percent; and workers on which
all runs stand still.  Estimates are rough, and the pace differs by worker.
"""

import dataclasses

# Workers are polled at least every 2 s; within this time more than one poll
# has shown no progress.
STALL_S = 2.6
# A run may be this many times slower than its estimate, or than the others.
SLOWDOWN = 4
# A task with a wrong estimate has to be moved, too.
MAX_ESTIMATED_S = 600.0
# The time grows with each stall, so that the task ends at any pace.
GROWTH = 2.0
MAX_DOUBLINGS = 20
PERCENTS = 100


@dataclasses.dataclass(frozen=True)
class Pace:
    """What is known of the pace of a task.

    ``shown_s`` is the time that its step has needed for a percent so far, 0 if
    that is unknown.  ``stalls`` is how often the task was stopped as stalled.
    """

    estimate_s: float
    shown_s: float
    stalls: int


def tolerated_s(pace: Pace) -> float:
    """Return the time without progress after which a run is stalled."""
    estimated_s = pace.estimate_s / PERCENTS * SLOWDOWN
    expected_s = max(
        STALL_S,
        min(estimated_s, MAX_ESTIMATED_S),
        pace.shown_s * SLOWDOWN,
    )
    return expected_s * GROWTH ** min(pace.stalls, MAX_DOUBLINGS)
