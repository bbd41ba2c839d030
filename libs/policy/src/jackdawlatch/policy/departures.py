"""Which runs are stopped on a worker that has announced its departure.

Load pattern: workers replaced one after the other, each with a notice of
seconds, that hold lasting tasks and tasks that take longer than the notice.
What is stopped before the departure can start elsewhere at once; what ends with
the worker waits until its lease is certainly over.
"""

import dataclasses
import math

# From the decision to stop a run until its worker gets the request.
REQUEST_S = 0.5


@dataclasses.dataclass(frozen=True)
class HeldRun:
    """A run on a leaving worker.

    ``left_s`` is how long it takes to end, infinite if that is unknown.
    ``replaceable`` means that a stop keeps the availability of its step, and
    that another worker has room for it.
    """

    lasting: bool
    left_s: float
    replaceable: bool


def must_stop(run: HeldRun, remaining_s: float, stop_s: float) -> bool:
    """Whether a run is stopped now.

    The worker leaves in ``remaining_s``, infinite if that is unknown; a stop
    takes at most ``stop_s``.
    """
    if run.lasting and run.replaceable:
        return True
    due = remaining_s <= stop_s + REQUEST_S
    return due and run.left_s > max(0, remaining_s)


def left_s(age_s: float, reported_age_s: float, percent: int) -> float:
    """Return how long a run goes on after ``age_s``, infinite if unknown.

    It had done ``percent`` of its work at ``reported_age_s``.
    """
    if not percent:
        return math.inf
    return max(0, reported_age_s * 100 / percent - age_s)
