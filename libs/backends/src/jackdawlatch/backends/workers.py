"""The interface behind which workers are met, and how a call can fail.

Renewing, throttling, stopping and checkpointing are idempotent, so that a
caller who got ``Unanswered`` may call again.
"""

import abc
import enum
from collections.abc import Sequence
from typing import ClassVar

from returns import result

from jackdawlatch.backends import tasks
from jackdawlatch.model import failures


class NotStarted(failures.NotRun, frozen=True, kw_only=True):
    """The worker has surely not started the task by this call."""

    code: ClassVar[str] = 'task-not-started'


class DoesNotFit(NotStarted, frozen=True, kw_only=True):
    """The worker has no room for the task."""

    code: ClassVar[str] = 'task-does-not-fit'


class Draining(NotStarted, frozen=True, kw_only=True):
    """The worker takes no new tasks."""

    code: ClassVar[str] = 'worker-draining'


class OtherBoot(NotStarted, frozen=True, kw_only=True):
    """The worker has restarted since the start was decided."""

    code: ClassVar[str] = 'worker-restarted'


class Uncertain(failures.OutcomeUnknown, frozen=True, kw_only=True):
    """The worker may or may not have started the task."""

    code: ClassVar[str] = 'task-uncertain'


class Unanswered(failures.Problem, frozen=True, kw_only=True):
    """The worker did not answer; the call may have taken effect."""

    code: ClassVar[str] = 'worker-unanswered'


class Gone(failures.Problem, frozen=True, kw_only=True):
    """The worker has no such task, or it runs no more."""

    code: ClassVar[str] = 'task-gone'


class Started(enum.Enum):
    """Whether a start was the first of its id."""

    NOW = 'now'
    BEFORE = 'before'


class Workers(abc.ABC):
    """Calls the worker with the base URL ``address``."""

    @abc.abstractmethod
    async def start(
        self, address: str, task: tasks.Task
    ) -> result.Result[Started, NotStarted | Uncertain]:
        """Start a task under a lease; one id is started at most once."""

    @abc.abstractmethod
    async def forbid(
        self, address: str, task_id: str
    ) -> result.Result[tasks.Forbidden, Unanswered]:
        """Have later starts of a task refused; tell whether one came."""

    @abc.abstractmethod
    async def renew(
        self, address: str, ids: Sequence[str], lease_s: float
    ) -> result.Result[tuple[str, ...], Unanswered]:
        """Extend leases from now on; return the ids it never started."""

    @abc.abstractmethod
    async def usage(
        self, address: str
    ) -> result.Result[tasks.Usage, Unanswered]:
        """Return what the worker has and runs, as of some seconds ago."""

    @abc.abstractmethod
    async def checkpoint(
        self, address: str, task_id: str
    ) -> result.Result[str, Gone | Unanswered]:
        """Stop a task and return the token to go on from."""

    @abc.abstractmethod
    async def throttle(
        self, address: str, task_id: str, fraction: float
    ) -> result.Result[None, Gone | Unanswered]:
        """Limit a task to a part of its processors."""

    @abc.abstractmethod
    async def stop(
        self, address: str, task_id: str
    ) -> result.Result[None, Gone | Unanswered]:
        """Stop a task; one that has ended stays as it is."""
