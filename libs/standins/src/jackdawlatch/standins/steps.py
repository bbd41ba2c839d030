"""A step of the demo: something that is done and then checked."""

import abc
import asyncio
from typing import ClassVar

import msgspec
from returns import result

from jackdawlatch.model import failures
from jackdawlatch.standins import bench, callers

TRIES = 50
RETRY_S = 0.2


class StepFailed(failures.Problem, frozen=True, kw_only=True):
    """A check of a step did not hold."""

    code: ClassVar[str] = 'step-failed'


Checked = result.Result[str, failures.Problem]


class Step(abc.ABC):
    """Does one thing on a running deployment and checks its outcome."""

    name: ClassVar[str]

    @abc.abstractmethod
    async def run(self, on: bench.Bench) -> Checked:
        """Return what was seen, or why it was not as it must be."""


def failed(message: str, hint: str = '') -> result.Failure[StepFailed]:
    """Return the failure of a step."""
    return result.Failure(StepFailed(message=message, hint=hint))


async def ask_until_run(on: bench.Bench, asked: callers.Asked) -> callers.Told:
    """Send a request again while it was not run, as a caller may."""
    told = await on.caller.ask(asked)
    for _ in range(TRIES):
        if told.outcome is not callers.Outcome.NOT_RUN:
            break
        await asyncio.sleep(RETRY_S)
        told = await on.caller.ask(asked)
    return told


class JobAnswer(msgspec.Struct, frozen=True):
    """What the entries say of a job; other fields are left alone."""

    id: str
    state: str
    reason: str = ''
