"""Requests to workers, and how they fail.

Times in requests are seconds of the worker's own monotonic clock.
"""

import dataclasses
import enum
from typing import ClassVar

from jackdawlatch.jobs import model
from jackdawlatch.model import failures


class Refusal(enum.Enum):
    """Why a worker refused a request; nothing was started."""

    FENCED = 'fenced'
    OUTDATED = 'outdated'
    EXPIRED = 'expired'
    NO_ROOM = 'no-room'
    TICKET = 'ticket'
    UNHEALTHY = 'unhealthy'
    OTHER_BOOT = 'other-boot'
    INVALID = 'invalid'


class Refused(failures.Problem, frozen=True, kw_only=True):
    """The worker refused the request and changed nothing."""

    code: ClassVar[str] = 'worker-refused'

    reason: Refusal


class NotSent(failures.Problem, frozen=True, kw_only=True):
    """The request did not reach the worker."""

    code: ClassVar[str] = 'worker-not-reached'


class Unanswered(failures.Problem, frozen=True, kw_only=True):
    """No answer: the request may have been carried out, or may be later."""

    code: ClassVar[str] = 'worker-unanswered'


CallFailure = Refused | NotSent | Unanswered


@dataclasses.dataclass(frozen=True)
class Target:
    """The id and address of the worker that a request is sent to."""

    id: str
    address: str


@dataclasses.dataclass(frozen=True)
class RunId:
    """Identifies one attempt at a task."""

    task: model.TaskId
    attempt: int


@dataclasses.dataclass(frozen=True)
class Start:
    """Starts a run; refused after ``expires_s``, when its first lease ends."""

    task: model.TaskId
    attempt: int
    spec: str
    token: int
    expires_s: float
    checkpoint: str = ''
    ticket: str = ''


@dataclasses.dataclass(frozen=True)
class Poll:
    """Requests a worker's status.

    ``acked`` acknowledges the ends up to that number, so that the worker
    discards them.  ``lease_s`` extends the lease of all its runs to that time;
    None leaves it.  The answer may be delayed until a run ends, at most
    ``wait_s``.
    """

    token: int
    acked: int
    lease_s: float | None
    wait_s: float = 0
