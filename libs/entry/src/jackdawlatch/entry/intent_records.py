"""The recorded intents of one bucket, and the changes made to them.

An intent is written before its request is sent.  Only the attempt whose
token is in the bucket may ever send.  An intent is kept until no copy can
come any more: for a window after the deadline, or after the known end.
"""

from collections.abc import Mapping
from typing import ClassVar

from returns import result

from jackdawlatch.entry import answer_sizes, unsent
from jackdawlatch.model import failures, records, work
from jackdawlatch.store import editing

KEY_PREFIX = 'intents/'
MAX_KEPT_BODY_BYTES = 4096
MAX_BUCKET_BYTES = 900_000
# What an intent takes without an answer, its key included.
RECORD_BYTES = 96


class Intent(records.Record, frozen=True, kw_only=True, array_like=True):
    """A request that may have been sent, and its answer once it is known.

    ``fingerprint`` tells requests under one key apart.  ``expires_s`` is
    seconds since the epoch.  ``answered`` without an ``answer`` means that
    the answer was too large to keep.
    """

    token: str
    fingerprint: str
    expires_s: float
    answered: bool = False
    answer: work.Answer | None = None


class Bucket(records.Versioned, frozen=True, kw_only=True):
    """Intents by the digest of team, service and key."""

    intents_by_key: dict[str, Intent] = {}


class Ending(records.Record, frozen=True, kw_only=True):
    """How an attempt ended: answered, or released as surely not run."""

    token: str
    released: bool = False
    expires_s: float = 0
    answer: work.Answer | None = None


class Taken(failures.Problem, frozen=True, kw_only=True):
    """Another attempt has recorded its intent under the same key."""

    code: ClassVar[str] = 'intent-taken'

    intent: Intent


def ending_of(token: str, answer: work.Answer, expires_s: float) -> Ending:
    """Return the ending of an answered attempt; a large answer is left out."""
    kept = (
        answer
        if answer_sizes.of_answer(answer) <= MAX_KEPT_BODY_BYTES
        else None
    )
    return Ending(token=token, answer=kept, expires_s=expires_s)


def insert(
    bucket: Bucket, scope: str, intent: Intent, now_s: float
) -> editing.Edited[Bucket]:
    """Add an intent unless there is one; what has expired goes."""
    intents_by_key = {
        key: known
        for key, known in bucket.intents_by_key.items()
        if known.expires_s > now_s
    }
    known = intents_by_key.get(scope)
    if known and known.token != intent.token:
        return result.Failure(
            Taken(message='the key was used before', intent=known)
        )
    intents_by_key[scope] = intent
    if _is_full(intents_by_key):
        intents_by_key = _without_answers(intents_by_key)
    if _is_full(intents_by_key):
        return result.Failure(
            unsent.IntentsFull(
                message='too many idempotency keys are in use',
                retry_after_s=1,
            )
        )
    return result.Success(
        records.replace(bucket, intents_by_key=intents_by_key)
    )


def end(bucket: Bucket, endings_by_key: Mapping[str, Ending]) -> Bucket:
    """Write endings down; one whose intent is gone changes nothing."""
    intents_by_key = dict(bucket.intents_by_key)
    for scope, ending in endings_by_key.items():
        known = intents_by_key.get(scope)
        if known is None or known.token != ending.token:
            continue
        if ending.released:
            intents_by_key.pop(scope)
        else:
            intents_by_key[scope] = records.replace(
                known,
                answered=True,
                answer=ending.answer,
                expires_s=ending.expires_s,
            )
    return records.replace(bucket, intents_by_key=intents_by_key)


def _is_full(intents_by_key: Mapping[str, Intent]) -> bool:
    in_answers = sum(
        answer_sizes.of_answer(intent.answer)
        for intent in intents_by_key.values()
        if intent.answer is not None
    )
    return len(intents_by_key) * RECORD_BYTES + in_answers > MAX_BUCKET_BYTES


def _without_answers(intents_by_key: Mapping[str, Intent]) -> dict[str, Intent]:
    return {
        scope: records.replace(intent, answer=None)
        for scope, intent in intents_by_key.items()
    }
