"""The outcome of a request, and how it travels between entries."""

from collections.abc import Mapping
from typing import TypeVar

from returns import result

from jackdawlatch.model import failures, records, work

Kind = TypeVar('Kind', bound=failures.Problem)
Outcome = result.Result[work.Answer, failures.Problem]


class Told(records.Record, frozen=True, kw_only=True):
    """An outcome in a form that can be sent: an answer or a failure."""

    answer: work.Answer | None = None
    unknown: bool = False
    code: str = ''
    message: str = ''
    hint: str = ''
    retry_after_s: float = 0


def tell(outcome: Outcome) -> Told:
    """Return the form of an outcome that is sent."""
    if isinstance(outcome, result.Success):
        return Told(answer=outcome.unwrap())
    failure = outcome.failure()
    return Told(
        unknown=isinstance(failure, failures.OutcomeUnknown),
        code=failure.code,
        message=failure.message,
        hint=failure.hint,
        retry_after_s=getattr(failure, 'retry_after_s', 0),
    )


def heard(told: Told) -> Outcome:
    """Return the outcome that another entry told."""
    if told.answer is not None:
        return result.Success(told.answer)
    return result.Failure(_failure(told))


def as_unknown(outcome: Outcome, message: str) -> Outcome:
    """Return an outcome whose not-run can't be vouched for."""
    if isinstance(outcome, result.Success):
        return outcome
    if isinstance(outcome.failure(), failures.OutcomeUnknown):
        return outcome
    return result.Failure(failures.OutcomeUnknown(message=message))


def _failure(told: Told) -> failures.Problem:
    if told.unknown:
        unknown = _classes_by_code(failures.OutcomeUnknown).get(
            told.code, failures.OutcomeUnknown
        )
        return unknown(message=told.message, hint=told.hint)
    invalid = _classes_by_code(failures.Invalid).get(told.code)
    if invalid:
        return invalid(message=told.message, hint=told.hint)
    refused = _classes_by_code(failures.NotRun).get(told.code, failures.NotRun)
    return refused(
        message=told.message, hint=told.hint, retry_after_s=told.retry_after_s
    )


def _classes_by_code(base: type[Kind]) -> Mapping[str, type[Kind]]:
    found = {base.code: base}
    for kind in base.__subclasses__():
        found.update(_classes_by_code(kind))
    return found
