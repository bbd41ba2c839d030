"""How much work arrives, as far as the number of arrivals is significant.

Load pattern: demand by turns.  In the first second of a turn few of its jobs
have arrived, while a machine takes more than a second to move: machines that
are requested only for the jobs present arrive when these are late already.
"""

import math
from collections.abc import Sequence

# Shorter than a move, and long enough for a significant number of jobs of a
# queue in its turn.
WINDOW_S = 0.6
# Twice as long as a turn: the jobs of a turn count with all their work.
HORIZON_S = 9.0


def near_work_s(work_s: float, chain_s: float) -> float:
    """Return the work of a job within the horizon.

    A job whose longest chain of tasks takes ``chain_s`` is taken to work evenly
    until its end.
    """
    if chain_s <= HORIZON_S:
        return work_s
    return work_s * HORIZON_S / chain_s


def expected_machines(works_s: Sequence[float]) -> float:
    """Return how many machines the jobs keep busy that arrive at this rate.

    ``works_s`` holds the machine-seconds of each job of the last window.  The
    number of jobs is lowered by its standard error, so that a few jobs which
    happen to come together do not count as the beginning of a turn.
    """
    if not works_s:
        return 0
    caution = 1 - 1 / math.sqrt(len(works_s))
    return caution * sum(works_s) / WINDOW_S
