"""Whether a job can still meet its latency objective.

Load pattern: demand beyond the capacity of the fleet.  A job that misses its
objective earns almost nothing, so capacity goes to jobs that can meet theirs.
A job counted as late too soon is delayed without need, and one counted as in
time too long takes the capacity of others.
"""

import dataclasses
from collections.abc import Callable, Sequence


@dataclasses.dataclass(frozen=True)
class Objective:
    """``slack_factor`` times the longest chain of work, plus ``target_s``."""

    slack_factor: float
    target_s: float


@dataclasses.dataclass(frozen=True)
class StepTiming:
    """Timing of a step, in seconds.

    ``after`` holds the positions of earlier steps that have to end first.
    ``elapsed_s`` is the time since the last of its tasks was started; None
    while a task waits.
    """

    duration_s: float
    after: tuple[int, ...] = ()
    elapsed_s: float | None = None
    done: bool = False

    @property
    def remaining_s(self) -> float:
        """How long the step would take if its waiting tasks started now."""
        if self.done:
            return 0
        return max(0, self.duration_s - (self.elapsed_s or 0))


def chain_s(steps: Sequence[StepTiming]) -> float:
    """Return the duration of the longest chain of steps."""
    return _longest_chain_s(steps, lambda step: step.duration_s)


def allowed_s(steps: Sequence[StepTiming], objective: Objective) -> float:
    """Return how long a job may take from when it was accepted or due."""
    return objective.slack_factor * chain_s(steps) + objective.target_s


def slack_s(
    steps: Sequence[StepTiming], objective: Objective, age_s: float
) -> float:
    """Return how long a job may still wait; negative if it will be late.

    ``age_s`` is the time since the job was accepted or due.
    """
    remaining_s = _longest_chain_s(steps, lambda step: step.remaining_s)
    return allowed_s(steps, objective) - age_s - remaining_s


def _longest_chain_s(
    steps: Sequence[StepTiming], length_s: Callable[[StepTiming], float]
) -> float:
    ends_s: list[float] = []
    for step in steps:
        begin_s = max((ends_s[position] for position in step.after), default=0)
        ends_s.append(begin_s + length_s(step))
    return max(ends_s, default=0)
