"""What callers are told about their jobs."""

from typing import ClassVar

from returns import result

from jackdawlatch.model import failures
from jackdawlatch.policy import shedding
from jackdawlatch.store import keyvalue, transactions

RETRY_AFTER_S = shedding.STORE_RETRY_S


class NotAccepted(failures.NotRun, frozen=True, kw_only=True):
    """The job is not stored and never runs.

    ``reason`` is why it was refused before any write, empty if the store
    refused the write.
    """

    code: ClassVar[str] = 'job-not-accepted'

    reason: str = ''


class OutcomeUnknown(failures.OutcomeUnknown, frozen=True, kw_only=True):
    """The write may take effect; the caller has to resend the job."""

    code: ClassVar[str] = 'job-outcome-unknown'


class KeyUnknown(failures.Problem, frozen=True, kw_only=True):
    """No team of the configuration in force holds the key of the call."""

    code: ClassVar[str] = 'key-unknown'


KEY_UNKNOWN = KeyUnknown(message='no team of the configuration holds this key')


class NoSuchJob(failures.Problem, frozen=True, kw_only=True):
    """No job with this id was accepted, or it was removed after its end."""

    code: ClassVar[str] = 'job-unknown'


Failure = NotAccepted | OutcomeUnknown | KeyUnknown | NoSuchJob
Submitted = result.Result[None, NotAccepted | OutcomeUnknown]


def of_early_cancel(
    job_id: str,
    written: result.Result[int, keyvalue.WriteFailure | keyvalue.Unavailable],
) -> result.Result[None, Failure] | None:
    """Return the answer to the cancel of a job that had no record.

    ``written`` is the result of the early cancel.  Return None if the job has a
    record by now.
    """
    if isinstance(written, result.Success):
        return result.Failure(NoSuchJob(message=job_id))
    failure = written.failure()
    if isinstance(failure, transactions.Rejected):
        return None
    return result.Failure(not_accepted(failure))


def of_rejected_creation(
    creation: transactions.Transaction, rejected: transactions.Rejected
) -> Submitted:
    """Return the answer to a job whose creation the store has rejected.

    It was accepted before, unless only a cancel of it is stored.
    """
    if any(put.key in rejected.revisions_by_key for put in creation.puts):
        return result.Success(None)
    return result.Failure(
        NotAccepted(
            message='the job was cancelled',
            retry_after_s=RETRY_AFTER_S,
            reason='cancelled',
        )
    )


def not_accepted(failure: failures.Problem) -> NotAccepted:
    """Return that a job is not stored, since the store did not take it."""
    return NotAccepted(message=failure.message, retry_after_s=RETRY_AFTER_S)
