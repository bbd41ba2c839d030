"""The outcome of a request, and its message form between entries."""

from collections.abc import Mapping
from typing import TypeVar

from returns import result

from jackdawlatch.model import failures, records, work

FailureType = TypeVar('FailureType', bound=failures.Problem)
Outcome = result.Result[work.Answer, failures.Problem]


class Told(records.Record, frozen=True, kw_only=True):
    """An outcome as a message: an answer, or the fields of a failure."""

    answer: work.Answer | None = None
    unknown: bool = False
    code: str = ''
    message: str = ''
    hint: str = ''
    retry_after_s: float = 0


def to_message(outcome: Outcome) -> Told:
    """Return an outcome as a message to another entry."""
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


def from_message(message: Told) -> Outcome:
    """Return the outcome in a message from another entry."""
    if message.answer is not None:
        return result.Success(message.answer)
    return result.Failure(_failure(message))


def as_unknown(outcome: Outcome, message: str) -> Outcome:
    """Replace a not-run outcome by an unknown one.

    For requests that another entry or attempt may have sent.
    """
    if isinstance(outcome, result.Success):
        return outcome
    if isinstance(outcome.failure(), failures.OutcomeUnknown):
        return outcome
    return result.Failure(failures.OutcomeUnknown(message=message))


def _failure(message: Told) -> failures.Problem:
    if message.unknown:
        unknown = _classes_by_code(failures.OutcomeUnknown).get(
            message.code, failures.OutcomeUnknown
        )
        return unknown(message=message.message, hint=message.hint)
    invalid = _classes_by_code(failures.Invalid).get(message.code)
    if invalid:
        return invalid(message=message.message, hint=message.hint)
    not_run = _classes_by_code(failures.NotRun).get(
        message.code, failures.NotRun
    )
    return not_run(
        message=message.message,
        hint=message.hint,
        retry_after_s=message.retry_after_s,
    )


def _classes_by_code(
    base: type[FailureType],
) -> Mapping[str, type[FailureType]]:
    classes_by_code = {base.code: base}
    for failure_type in base.__subclasses__():
        classes_by_code.update(_classes_by_code(failure_type))
    return classes_by_code
