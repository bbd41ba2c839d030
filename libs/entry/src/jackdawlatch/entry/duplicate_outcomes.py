"""The outcomes that duplicates of a keyed request get."""

from returns import result

from jackdawlatch.entry import (
    intent_records,
    invalid_requests,
    not_run_failures,
    outcomes,
    unknown_outcome_failures,
)

RETRY_AFTER_S = 1


def key_reused() -> outcomes.Outcome:
    """Return the failure of a different request under a used key."""
    return result.Failure(
        invalid_requests.KeyReused(
            message='the key was used for a different request',
            hint='use a new key for each request',
            path='Idempotency-Key',
            expected='a distinct key for each request',
        )
    )


def from_intent(
    recorded: intent_records.Intent, fingerprint: str
) -> outcomes.Outcome:
    """Return the outcome when another attempt has recorded the intent."""
    if recorded.fingerprint != fingerprint:
        return key_reused()
    if recorded.answer is not None:
        return result.Success(recorded.answer)
    if recorded.answered:
        return result.Failure(
            unknown_outcome_failures.AnswerNotKept(
                message='a duplicate was answered, but its answer was not kept'
            )
        )
    return result.Failure(
        unknown_outcome_failures.SentBefore(
            message='a duplicate may have been sent; it is not sent again',
            hint='retry later with the same key',
        )
    )


def still_running() -> outcomes.Outcome:
    """Return the outcome when the deadline passes before the attempt ends."""
    return result.Failure(
        unknown_outcome_failures.StillRunning(
            message='the deadline passed before the outcome was known',
            hint='retry with the same key',
        )
    )


def intent_not_recorded(attempts_known: bool) -> outcomes.Outcome:
    """Return the outcome when the intent could not be recorded.

    ``attempts_known`` is whether this process would know of an earlier
    duplicate.
    """
    if attempts_known:
        return result.Failure(
            not_run_failures.IntentNotKept(
                message='the store is unavailable; the request was not sent',
                hint='retry with the same key',
                retry_after_s=RETRY_AFTER_S,
            )
        )
    return result.Failure(
        unknown_outcome_failures.KeyUnknown(
            message='the request was not sent; a duplicate may have been',
            hint='retry with the same key',
        )
    )
