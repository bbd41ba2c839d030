"""Whether a team may start one more task.

Load pattern: a team that floods the fleet, with a limit on what its tasks may
hold at once.  Runs whose end is not certain count as held.
"""

from jackdawlatch.jobs import model
from jackdawlatch.model import presets

MILLICORES_PER_CORE = 1000


def admits(quota: presets.Quota, held: model.Room, need: model.Room) -> bool:
    """Return whether ``need`` fits into a quota beside what is held.

    A task that alone is over the quota may run while nothing else is held, so
    that it does not wait for ever.
    """
    if held == model.Room():
        return True
    total = held.plus(need)
    return (
        total.processors_m <= quota.processors * MILLICORES_PER_CORE
        and total.memory_mb <= quota.memory_mb
        and total.accelerators <= quota.accelerators
    )
