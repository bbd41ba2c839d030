"""How attempts end."""

import dataclasses
import enum
from typing import ClassVar

from returns import result

from jackdawlatch.model import failures, work

TransitionResult = result.Result[work.Job, failures.Problem]


class Superseded(failures.Problem, frozen=True, kw_only=True):
    """The job has changed since the decision; ``job`` is its state now."""

    code: ClassVar[str] = 'job-superseded'

    job: work.Job


class Ending(enum.Enum):
    """How an attempt ended."""

    NEVER_STARTED = 'never started'
    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    CHECKPOINTED = 'checkpointed'
    EXPIRED = 'expired'


@dataclasses.dataclass(frozen=True)
class AttemptEnd:
    """The certain end of an attempt: its task neither runs nor will run.

    ``retry_s`` is how long the job waits before its next start.
    ``at_fault`` tells that the job itself caused the failure.
    """

    attempt: int
    ending: Ending
    reason: str = ''
    checkpoint: str = ''
    retry_s: float = 0
    at_fault: bool = False
