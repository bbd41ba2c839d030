"""What is known of how an attempt of a job ended."""

import dataclasses
import enum
from typing import ClassVar

from returns import result

from jackdawlatch.model import failures, work

Moved = result.Result[work.Job, failures.Problem]


class Superseded(failures.Problem, frozen=True, kw_only=True):
    """The job has moved on since the decision; ``job`` is its state now."""

    code: ClassVar[str] = 'job-superseded'

    job: work.Job


class Ending(enum.Enum):
    """What is known of how an attempt ended."""

    NEVER_STARTED = 'never started'
    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    CHECKPOINTED = 'checkpointed'
    EXPIRED = 'expired'


@dataclasses.dataclass(frozen=True)
class Ended:
    """The end of one attempt, surely: no task of it runs or will run.

    ``retry_s`` is how long the job waits before another start.  ``at_fault``
    says that the job itself is to blame for its failure.
    """

    attempt: int
    ending: Ending
    reason: str = ''
    checkpoint: str = ''
    retry_s: float = 0
    at_fault: bool = False
