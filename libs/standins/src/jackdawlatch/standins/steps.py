"""The steps of the demo: each does something and checks the outcome."""

import abc
import asyncio
from typing import ClassVar

import msgspec
from returns import result

from jackdawlatch.model import failures
from jackdawlatch.standins import callers, testbed

MAX_RETRIES = 50
RETRY_S = 0.2


class StepFailed(failures.Problem, frozen=True, kw_only=True):
    """A check of a step failed."""

    code: ClassVar[str] = 'step-failed'


StepResult = result.Result[str, failures.Problem]


class Step(abc.ABC):
    """Does something on a running deployment and checks the outcome."""

    name: ClassVar[str]

    @abc.abstractmethod
    async def run(self, bed: testbed.Testbed) -> StepResult:
        """Return a summary of what was observed, or the failed check."""


def failed(message: str, hint: str = '') -> result.Failure[StepFailed]:
    """Return the failure of a step."""
    return result.Failure(StepFailed(message=message, hint=hint))


async def send_until_run(
    bed: testbed.Testbed, request: callers.Request
) -> callers.Call:
    """Send a request, and repeat it while it is reported as not run."""
    call = await bed.caller.send(request)
    for _ in range(MAX_RETRIES):
        if call.outcome is not callers.Outcome.NOT_RUN:
            break
        await asyncio.sleep(RETRY_S)
        call = await bed.caller.send(request)
    return call


class JobAnswer(msgspec.Struct, frozen=True):
    """A job as the entries report it; other fields are ignored."""

    id: str
    state: str
    reason: str = ''
