"""Interface to the runners, and the possible results of an exchange.

An exchange ends with the target's complete answer, with a ``NotRun`` failure
or with an ``OutcomeUnknown`` failure.  ``NotRun`` may be returned only if no
byte of the request can have reached the target, or if the target declared by
its documented protocol that it did not run the request.
"""

import abc
from typing import ClassVar

from returns import result

from jackdawlatch.model import failures, work


class Unreachable(failures.NotRun, frozen=True, kw_only=True):
    """No connection to the target could be established."""

    code: ClassVar[str] = 'target-unreachable'


class Busy(failures.NotRun, frozen=True, kw_only=True):
    """The target reported that it has no free slot."""

    code: ClassVar[str] = 'target-busy'


class Leaving(failures.NotRun, frozen=True, kw_only=True):
    """The target reported that it is draining."""

    code: ClassVar[str] = 'target-leaving'


class TooLate(failures.NotRun, frozen=True, kw_only=True):
    """The deadline passed before the first byte could be sent."""

    code: ClassVar[str] = 'deadline-passed'


class Unsendable(failures.NotRun, frozen=True, kw_only=True):
    """The request cannot be encoded as HTTP."""

    code: ClassVar[str] = 'request-unsendable'


class NoWholeAnswer(failures.OutcomeUnknown, frozen=True, kw_only=True):
    """The connection ended before the answer was complete."""

    code: ClassVar[str] = 'no-whole-answer'


class LateAnswer(failures.OutcomeUnknown, frozen=True, kw_only=True):
    """The answer was not complete at the deadline."""

    code: ClassVar[str] = 'answer-late'


ExchangeResult = result.Result[
    work.Answer, failures.NotRun | failures.OutcomeUnknown
]


class Runners(abc.ABC):
    """Sends requests to runners, each one once."""

    @abc.abstractmethod
    async def exchange(
        self, address: str, request: work.Request, timeout_s: float
    ) -> ExchangeResult:
        """Send a request to the runner with the base URL ``address``.

        Nothing is sent after ``timeout_s`` or after ``request.deadline_s``.
        A non-idempotent request is never sent twice.  Cancelling the call
        closes the connection.
        """
