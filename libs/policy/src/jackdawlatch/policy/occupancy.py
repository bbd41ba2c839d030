"""How much capacity a job needs now and soon.

Load pattern: demand by turns, each more than the machines of its service carry.
The tasks of a step take unequal time, and steps follow each other, so a job
holds the capacity of its widest step for part of its time only.  A service with
machines for the widest steps of all its jobs leaves up to half of them idle,
while the next service has its turn.
"""

import dataclasses
from collections.abc import Sequence


@dataclasses.dataclass(frozen=True)
class StepWork:
    """The tasks of a step that are not done.

    Each needs ``share`` of a machine for ``task_s``; the step takes
    ``step_s``, as long as its longest task.  ``after`` holds the positions of
    earlier steps that have to end first.
    """

    open_count: int
    share: float
    task_s: float
    step_s: float
    after: tuple[int, ...] = ()

    @property
    def width(self) -> float:
        """The machines that all its tasks hold at the same time."""
        return self.open_count * self.share


def needed_machines(steps: Sequence[StepWork]) -> float:
    """Return how many machines a job needs now and soon.

    That is what its tasks need that run or may start, or its average use until
    its end if that is more.
    """
    work_s = sum(step.width * step.task_s for step in steps)
    chain_s = _chain_s(steps)
    widest = widest_machines(steps)
    if not chain_s:
        return widest
    return max(_ready_machines(steps), min(widest, work_s / chain_s))


def widest_machines(steps: Sequence[StepWork]) -> float:
    """Return how many machines the widest step of a job holds."""
    return max((step.width for step in steps), default=0)


def _ready_machines(steps: Sequence[StepWork]) -> float:
    return sum(
        step.width
        for step in steps
        if not any(steps[position].open_count for position in step.after)
    )


def _chain_s(steps: Sequence[StepWork]) -> float:
    ends_s: list[float] = []
    for step in steps:
        end_s = max((ends_s[position] for position in step.after), default=0)
        if step.open_count:
            end_s += step.step_s
        ends_s.append(end_s)
    return max(ends_s, default=0)
