"""Whether a team may start one more task.

Load pattern: a team that floods the fleet, with a limit on what its tasks may
hold at once.  Runs whose end is not certain count as held.
"""

import math
from typing import NamedTuple


class Resources(NamedTuple):
    """Processors in thousandths of a core, memory in MB, and accelerators."""

    processors_m: float
    memory_mb: float
    accelerators: float


UNLIMITED = Resources(math.inf, math.inf, math.inf)


def admits(limit: Resources, held: Resources, need: Resources) -> bool:
    """Return whether ``need`` fits within a limit beside what is held.

    A task that alone is over the limit may run while nothing else is held, so
    that it does not wait for ever.  A resource that the task does not need is
    not compared: after a limit has dropped, more than that may be held.
    """
    return not any(held) or all(
        not more or used + more <= most
        for used, more, most in zip(held, need, limit, strict=True)
    )


def fitting_count(
    limit: Resources, held: Resources, need: Resources, wanted: int
) -> int:
    """Return how many of ``wanted`` equal tasks fit within a limit."""
    if not wanted or not admits(limit, held, need):
        return 0
    counts = [
        (most - used) // more
        for used, more, most in zip(held, need, limit, strict=True)
        if more and most < math.inf
    ]
    return max(1, int(min((wanted, *counts))))
