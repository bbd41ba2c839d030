"""Orders to workers, and how they fail.

Times on a worker are seconds of that worker's own steady clock.
"""

import dataclasses
import enum
from typing import ClassVar

from jackdawlatch.jobs import model
from jackdawlatch.model import failures


class Refusal(enum.Enum):
    """Why a worker refused a start; none of them started anything."""

    FENCED = 'fenced'
    OUTDATED = 'outdated'
    EXPIRED = 'expired'
    NO_ROOM = 'no-room'
    TICKET = 'ticket'
    UNHEALTHY = 'unhealthy'
    OTHER_BOOT = 'other-boot'
    INVALID = 'invalid'


class Refused(failures.Problem, frozen=True, kw_only=True):
    """The worker refused; nothing was started or changed."""

    code: ClassVar[str] = 'worker-refused'

    reason: Refusal


class NotSent(failures.Problem, frozen=True, kw_only=True):
    """No byte reached the worker."""

    code: ClassVar[str] = 'worker-not-reached'


class Unanswered(failures.Problem, frozen=True, kw_only=True):
    """The order may have been carried out, or may be in some seconds."""

    code: ClassVar[str] = 'worker-unanswered'


CallFailure = Refused | NotSent | Unanswered


@dataclasses.dataclass(frozen=True)
class Target:
    """One boot of a worker that is called."""

    id: str
    address: str


@dataclasses.dataclass(frozen=True)
class RunName:
    """One attempt at a task."""

    task: model.TaskId
    attempt: int


@dataclasses.dataclass(frozen=True)
class Start:
    """An order to run a task until ``expires_s`` at first."""

    task: model.TaskId
    attempt: int
    spec: str
    token: int
    expires_s: float
    checkpoint: str = ''
    ticket: str = ''


@dataclasses.dataclass(frozen=True)
class Look:
    """Asks for a worker's lists.

    ``acked`` lets the worker forget ends up to that number.  ``lease_s``
    extends the lease of all that runs there; None leaves it.  The answer may
    wait for an end, up to ``wait_s``.
    """

    token: int
    acked: int
    lease_s: float | None
    wait_s: float = 0
