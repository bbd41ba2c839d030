"""Whether a job that is submitted now is accepted or refused.

Load pattern: jobs that cannot be done in time together with urgent ones.  A
refusal costs its caller everything, so a job is refused only if even a forecast
that favours it starts it too late to be of any use, and never without a fresh
forecast.
"""

import dataclasses
import enum
import math
from collections.abc import Sequence

from jackdawlatch.policy import backlog

# An answer after this multiple of the objective is of no use to the caller.
USEFUL_OBJECTIVES = 3
# A forecast has to exceed the latest useful start by this factor: the longest
# chain of tasks takes 1.24 to 1.5 times its estimate, and its objective grows
# with it.
SAFETY_FACTOR = 1.5
MAX_AGE_S = 3.0
# The store answers in milliseconds; a slow one takes about 0.25 s.
STORE_RETRY_S = 1


class Reason(enum.StrEnum):
    """Why a submission is refused."""

    STORE = 'store'
    BACKLOG = 'backlog'


@dataclasses.dataclass(frozen=True)
class Job:
    """What a job needs, in seconds and core-seconds.

    ``chain_s`` is its longest chain of estimated work.  ``spread``, from 0 to
    1, differs from job to job and is the same each time a job is sent.
    """

    priority: int
    chain_s: float
    core_s: float
    objective_s: float
    spread: float = 0

    @property
    def in_time_s(self) -> float:
        """How long its start may take for it to meet its objective."""
        return self.objective_s - self.chain_s

    @property
    def useful_s(self) -> float:
        """How long its start may take for it to be of any use."""
        return USEFUL_OBJECTIVES * self.objective_s - self.chain_s


@dataclasses.dataclass(frozen=True)
class Load:
    """The forecast for a service, and the time since it was received."""

    levels: Sequence[backlog.Level]
    age_s: float

    def level_of(self, job: Job) -> backlog.Level | None:
        """Return the level at which a job waits, None if it does not."""
        rank = (job.priority, job.core_s)
        return max(
            (one for one in self.levels if one[:2] <= rank), default=None
        )


@dataclasses.dataclass(frozen=True)
class Refusal:
    """Why a submission is refused, and after how many seconds to retry."""

    reason: Reason
    retry_after_s: int
    message: str


def decide(
    store_answers: bool, job: Job | None = None, load: Load | None = None
) -> Refusal | None:
    """Return why a request is refused, None if it is accepted.

    ``job`` is None for other requests, and for jobs that wait for their start
    time or last until they are cancelled.
    """
    if not store_answers:
        return Refusal(Reason.STORE, STORE_RETRY_S, 'the store does not answer')
    if job is None or load is None or load.age_s > MAX_AGE_S:
        return None
    level = load.level_of(job)
    if level is None or level.wait_s - load.age_s <= job.in_time_s:
        return None
    wait_s = level.late_wait_s - load.age_s
    if wait_s <= SAFETY_FACTOR * job.useful_s:
        return None
    return Refusal(
        Reason.BACKLOG,
        retry_after_s(wait_s, job.spread),
        f'work ahead of it takes {wait_s:.1f} s, while a start after '
        f'{job.useful_s:.1f} s is too late',
    )


def retry_after_s(wait_s: float, spread: float) -> int:
    """Return when a refused caller returns.

    Work that is refused while the backlog drains returns in the same time
    after that, each job at its own moment, rather than all at once.
    """
    return max(1, math.ceil(wait_s * (1 + spread)))
