"""Which tasks crash the workers that start them.

Load pattern: a few tasks that crash their worker soon after each start, among
many short ones that are lost with it.  A crash makes a suspect of each task
that had just started there.  Other tasks avoid its next worker, so that most
suspects are cleared soon; nothing is started beside a task whose second worker
has crashed.
"""

import dataclasses
import math

# A task that has run for this long does not crash its workers.
SURVIVAL_S = 1.0
# Crashes in a row after which a task is given up, if so many are proven.
MAX_CRASHES = 3
MIN_PROVEN = 2
# The losses of this time give the rate at which workers crash.
RATE_PERIOD_S = 20.0
# Probability that the crashes in a row under a task have other causes.
MAX_CHANCE = 0.005
# Workers lost within ``TOGETHER_S`` have a cause outside of their tasks.
MASS_LOSS = 4
TOGETHER_S = 0.05
# Crashes in a row after which nothing else is started beside a task.
ISOLATED_CRASHES = 2
# Part of a service's workers on which isolated tasks may start at once.
TRIAL_FRACTION = 0.5


@dataclasses.dataclass(frozen=True)
class LostRun:
    """A run that was lost with its worker.

    ``confirmed_s`` is how long it is known to have run.  ``sent_before_s`` is
    the time from its start request to the loss of the worker, infinite if an
    earlier leader sent it.  ``last_sent_before_s`` is that of the last start on
    the same worker.  ``lost_workers`` counts the workers lost at that time.
    """

    confirmed_s: float
    sent_before_s: float
    last_sent_before_s: float
    suspected: bool
    lost_workers: int = 1


def is_blamed(run: LostRun) -> bool:
    """Whether a run may have crashed its worker."""
    if survives(run.confirmed_s):
        return False
    if run.suspected and math.isinf(run.sent_before_s):
        return True
    # A loss may be noticed late: the worker was up at its last start.
    lost_before_s = max(0, run.last_sent_before_s - SURVIVAL_S)
    recent = run.sent_before_s - lost_before_s <= SURVIVAL_S
    return recent and (run.suspected or run.lost_workers < MASS_LOSS)


def survives(confirmed_s: float) -> bool:
    """Whether a run has lasted longer than those that crash their worker."""
    return confirmed_s >= SURVIVAL_S


def crashes_to_give_up(recent_losses: int, workers: int) -> int:
    """Return after how many crashes in a row a task is given up.

    ``recent_losses`` is how many of the workers were lost in the last
    ``RATE_PERIOD_S``.  Where they crash often, they do so by chance soon after
    a start.
    """
    rate = recent_losses / max(1, workers) / RATE_PERIOD_S
    chance = 1 - math.exp(-rate * SURVIVAL_S)
    if chance <= 0:
        return MAX_CRASHES
    return max(MAX_CRASHES, math.ceil(math.log(MAX_CHANCE) / math.log(chance)))


def is_given_up(crashes: int, proven: int, limit: int = MAX_CRASHES) -> bool:
    """Whether a task with so many crashes in a row is started no more.

    ``proven`` of them are certain: the task ran on a worker that crashed.  The
    others may be workers that were cut off, or starts that were not carried out.
    """
    return crashes >= limit and proven >= limit - MAX_CRASHES + MIN_PROVEN


def is_isolated(crashes: int) -> bool:
    """Whether a task with so many crashes in a row is started alone."""
    return crashes >= ISOLATED_CRASHES


def may_isolate(usable: int, trying: int, lost: int) -> bool:
    """Whether a service may start one more task on a worker of its own.

    It has ``usable`` workers.  On ``trying`` others such a task has just
    started, and ``lost`` ones are away after such a start.
    """
    if lost >= max(1, usable):
        return False
    return trying < max(1, int(usable * TRIAL_FRACTION))
