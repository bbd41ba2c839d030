"""Classifies how an exchange with a runner ended, and what to retry."""

import types
from collections.abc import Mapping

from returns import result

from jackdawlatch.admission import tickets
from jackdawlatch.backends import runners
from jackdawlatch.model import failures, work

FIRST_SERVER_ERROR_STATUS = 500
# Missing a deadline shorter than this does not count as a target's failure.
MIN_BLAMED_TIMEOUT_S: float = 1

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
    """The granted runner turned out to be leaving; nothing was sent."""


# These failures put no load on a runner, and the runner gets no slots for a
# while.  The request is queued again until its deadline, outside of the retry
# budget.
REFUSALS = (runners.Busy, runners.Leaving, runners.Unreachable, Moved)


def may_retry(request: work.Request, failure: failures.Problem) -> bool:
    """Return whether another attempt is safe and could succeed."""
    if isinstance(failure, REFUSALS):
        return True
    return request.idempotent and isinstance(failure, runners.NoWholeAnswer)


def ticket_outcome(
    exchanged: runners.ExchangeResult, left_s: float
) -> tickets.Outcome:
    """Return the outcome to report for the slot of an exchange.

    ``left_s`` is the timeout that the exchange had, in seconds.
    """
    if isinstance(exchanged, result.Success):
        failed = exchanged.unwrap().status >= FIRST_SERVER_ERROR_STATUS
        return tickets.Outcome.FAILED if failed else tickets.Outcome.ANSWERED
    failure = exchanged.failure()
    if (
        isinstance(failure, runners.LateAnswer)
        and left_s < MIN_BLAMED_TIMEOUT_S
    ):
        return tickets.Outcome.UNUSED
    matching = (
        outcome
        for kind, outcome in OUTCOMES_BY_FAILURE.items()
        if isinstance(failure, kind)
    )
    return next(matching, tickets.Outcome.UNUSED)
