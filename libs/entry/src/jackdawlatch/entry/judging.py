"""What the end of an exchange means for its runner and for a retry."""

import types
from collections.abc import Mapping

from returns import result

from jackdawlatch.admission import tickets
from jackdawlatch.backends import runners
from jackdawlatch.model import failures, work

FIRST_SERVER_ERROR = 500
# A target is not blamed for missing a deadline shorter than this.
BLAMED_TIMEOUT_S: float = 1

OUTCOMES_BY_FAILURE: Mapping[type[failures.Problem], tickets.Outcome] = (
    types.MappingProxyType(
        {
            runners.Busy: tickets.Outcome.BUSY,
            runners.Leaving: tickets.Outcome.LEAVING,
            runners.Unreachable: tickets.Outcome.REFUSED,
            runners.NoWholeAnswer: tickets.Outcome.FAILED,
            runners.LateAnswer: tickets.Outcome.FAILED,
        }
    )
)


class Moved(failures.NotRun, frozen=True, kw_only=True):
    """The runner of the slot was found leaving before anything was sent."""


# Such a request loaded no runner, and its runner is left alone for a while:
# it is queued again until its deadline, outside of the retry budget.
REFUSALS = (runners.Busy, runners.Leaving, runners.Unreachable, Moved)


def may_retry(request: work.Request, failure: failures.Problem) -> bool:
    """Say whether another attempt is safe and may help."""
    if isinstance(failure, REFUSALS):
        return True
    return request.idempotent and isinstance(failure, runners.NoWholeAnswer)


def judge(exchanged: runners.Exchanged, left_s: float) -> tickets.Outcome:
    """Return what an exchange says of its runner.

    ``left_s`` is the time that it was given.
    """
    if isinstance(exchanged, result.Success):
        failed = exchanged.unwrap().status >= FIRST_SERVER_ERROR
        return tickets.Outcome.FAILED if failed else tickets.Outcome.ANSWERED
    failure = exchanged.failure()
    if isinstance(failure, runners.LateAnswer) and left_s < BLAMED_TIMEOUT_S:
        return tickets.Outcome.UNUSED
    judged = (
        outcome
        for kind, outcome in OUTCOMES_BY_FAILURE.items()
        if isinstance(failure, kind)
    )
    return next(judged, tickets.Outcome.UNUSED)
