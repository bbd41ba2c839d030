"""The interface behind which runners are met, and how an exchange can end.

An exchange ends with the target's whole answer, with a ``NotRun`` failure,
or with an ``OutcomeUnknown`` failure.  ``NotRun`` may be returned only while
no byte of the request can have reached the target, or when the target said
by its documented protocol that it did not run the request.
"""

import abc
from typing import ClassVar

from returns import result

from jackdawlatch.model import failures, work


class Unreachable(failures.NotRun, frozen=True, kw_only=True):
    """No connection to the target could be opened."""

    code: ClassVar[str] = 'target-unreachable'


class Busy(failures.NotRun, frozen=True, kw_only=True):
    """The target said that it has no free slot."""

    code: ClassVar[str] = 'target-busy'


class Leaving(failures.NotRun, frozen=True, kw_only=True):
    """The target said that it is draining."""

    code: ClassVar[str] = 'target-leaving'


class TooLate(failures.NotRun, frozen=True, kw_only=True):
    """The deadline passed before the first byte could be sent."""

    code: ClassVar[str] = 'deadline-passed'


class Unsendable(failures.NotRun, frozen=True, kw_only=True):
    """The request can't be written as HTTP."""

    code: ClassVar[str] = 'request-unsendable'


class NoWholeAnswer(failures.OutcomeUnknown, frozen=True, kw_only=True):
    """The connection ended before the whole answer was there."""

    code: ClassVar[str] = 'no-whole-answer'


class LateAnswer(failures.OutcomeUnknown, frozen=True, kw_only=True):
    """The whole answer was not there at the deadline."""

    code: ClassVar[str] = 'answer-late'


Exchanged = result.Result[
    work.Answer, failures.NotRun | failures.OutcomeUnknown
]


class Runners(abc.ABC):
    """Sends one request once to one runner."""

    @abc.abstractmethod
    async def exchange(
        self, address: str, request: work.Request, timeout_s: float
    ) -> Exchanged:
        """Send a request to the runner with the base URL ``address``.

        Nothing is sent once ``timeout_s`` or ``request.deadline_s`` has
        passed.  A non-idempotent request is never sent a second time.
        Cancelling the call closes the connection.
        """
