"""What copies of a keyed request are told."""

from returns import result

from jackdawlatch.entry import (
    intent_records,
    outcomes,
    refusals,
    unknown,
    unsent,
)

RETRY_AFTER_S = 1


def reused() -> outcomes.Outcome:
    """Return the refusal of a different request under a used key."""
    return result.Failure(
        refusals.KeyReused(
            message='the key was used for a different request',
            hint='take a new key for each request',
            path='Idempotency-Key',
            expected='a key of its own for each request',
        )
    )


def from_record(
    known: intent_records.Intent, fingerprint: str
) -> outcomes.Outcome:
    """Return what a copy is told whose intent another attempt recorded."""
    if known.fingerprint != fingerprint:
        return reused()
    if known.answer is not None:
        return result.Success(known.answer)
    if known.answered:
        return result.Failure(
            unknown.AnswerNotKept(message='a copy was run and answered')
        )
    return result.Failure(
        unknown.SentBefore(
            message='a copy may have been sent; it is never sent again',
            hint='ask again later with the same key',
        )
    )


def still_running() -> outcomes.Outcome:
    """Return what is told at a deadline while an attempt is in flight."""
    return result.Failure(
        unknown.StillRunning(
            message='the deadline passed before the outcome was known',
            hint='ask again with the same key',
        )
    )


def not_kept(vouched: bool) -> outcomes.Outcome:
    """Return what is told when the intent could not be recorded.

    ``vouched`` says whether this process would know of an earlier copy.
    """
    if vouched:
        return result.Failure(
            unsent.IntentNotKept(
                message='the store is away, so that nothing was sent',
                hint='send it again with the same key',
                retry_after_s=RETRY_AFTER_S,
            )
        )
    return result.Failure(
        unknown.KeyUnknown(
            message='nothing was sent now, but a copy may have been before',
            hint='ask again with the same key',
        )
    )
