"""Interface to the workers, and the failures of its calls.

Renewing, throttling, stopping and checkpointing are idempotent, so a caller
that got ``Unanswered`` may call again.
"""

import abc
import enum
from collections.abc import Sequence
from typing import ClassVar

from returns import result

from jackdawlatch.backends import tasks
from jackdawlatch.model import failures


class NotStarted(failures.NotRun, frozen=True, kw_only=True):
    """The task was definitely not started by this call."""

    code: ClassVar[str] = 'task-not-started'


class DoesNotFit(NotStarted, frozen=True, kw_only=True):
    """The worker has no room for the task."""

    code: ClassVar[str] = 'task-does-not-fit'


class Draining(NotStarted, frozen=True, kw_only=True):
    """The worker is draining and accepts no new tasks."""

    code: ClassVar[str] = 'worker-draining'


class OtherBoot(NotStarted, frozen=True, kw_only=True):
    """The worker has restarted since the task was assigned to it."""

    code: ClassVar[str] = 'worker-restarted'


class Uncertain(failures.OutcomeUnknown, frozen=True, kw_only=True):
    """The worker may or may not have started the task."""

    code: ClassVar[str] = 'task-uncertain'


class Unanswered(failures.Problem, frozen=True, kw_only=True):
    """The worker did not answer; the call may have taken effect."""

    code: ClassVar[str] = 'worker-unanswered'


class Gone(failures.Problem, frozen=True, kw_only=True):
    """The worker does not have the task, or the task has ended."""

    code: ClassVar[str] = 'task-gone'


class StartResult(enum.Enum):
    """Whether a task was started by this call or an earlier one."""

    NOW = 'now'
    BEFORE = 'before'


class Workers(abc.ABC):
    """Calls workers; ``address`` is the base URL of the worker."""

    @abc.abstractmethod
    async def start(
        self, address: str, task: tasks.Task
    ) -> result.Result[StartResult, NotStarted | Uncertain]:
        """Start a task under a lease; an id is started at most once."""

    @abc.abstractmethod
    async def forbid(
        self, address: str, task_id: str
    ) -> result.Result[tasks.Forbidden, Unanswered]:
        """Forbid a task to start; report whether it was started before."""

    @abc.abstractmethod
    async def renew(
        self, address: str, ids: Sequence[str], lease_s: float
    ) -> result.Result[tuple[str, ...], Unanswered]:
        """Extend leases from now; return the ids it has never started."""

    @abc.abstractmethod
    async def usage(
        self, address: str
    ) -> result.Result[tasks.Usage, Unanswered]:
        """Return the worker's capacity and tasks, some seconds old."""

    @abc.abstractmethod
    async def checkpoint(
        self, address: str, task_id: str
    ) -> result.Result[str, Gone | Unanswered]:
        """Stop a task and return the token to resume it from."""

    @abc.abstractmethod
    async def throttle(
        self, address: str, task_id: str, fraction: float
    ) -> result.Result[None, Gone | Unanswered]:
        """Limit a task to a fraction (0 to 1) of its processors."""

    @abc.abstractmethod
    async def stop(
        self, address: str, task_id: str
    ) -> result.Result[None, Gone | Unanswered]:
        """Stop a task; a task that has ended is left unchanged."""
