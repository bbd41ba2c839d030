"""The recorded intents of one bucket, and the changes made to them.

An intent is written before its request is sent.  Only the attempt whose
token is in the bucket may send the request.  An intent is kept for the key
window (``key_window_s``) after the deadline, or after the end once that is
known; duplicates are not expected later.
"""

from collections.abc import Mapping
from typing import ClassVar

from returns import result

from jackdawlatch.entry import answer_sizes, not_run_failures
from jackdawlatch.model import failures, records, work
from jackdawlatch.store import editing

KEY_PREFIX = 'intents/'
MAX_STORED_ANSWER_BYTES = 4096
MAX_BUCKET_BYTES = 900_000
# The estimated size of an intent without its answer, its key included.
INTENT_BYTES = 96


class Intent(records.Record, frozen=True, kw_only=True, array_like=True):
    """A request that may have been sent, and its answer once it is known.

    ``fingerprint`` tells apart different requests under one key.
    ``expires_s`` is in seconds since the epoch.  ``answered`` without an
    ``answer`` means that the answer was too large, or was dropped to make
    room.
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
    """How an attempt ended: answered, or released since it sent nothing."""

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
    stored_answer = (
        answer
        if answer_sizes.answer_size_bytes(answer) <= MAX_STORED_ANSWER_BYTES
        else None
    )
    return Ending(token=token, answer=stored_answer, expires_s=expires_s)


def release_of(intent: Intent) -> Ending:
    """Return the ending of an attempt that is known to have sent nothing."""
    return Ending(token=intent.token, released=True, expires_s=intent.expires_s)


def insert(
    bucket: Bucket, key_digest: str, intent: Intent, now_s: float
) -> editing.Edited[Bucket]:
    """Add an intent unless its key has one; drop expired intents.

    If the bucket is full, stored answers are dropped first.  Fails with
    ``Taken`` or ``IntentsFull``.
    """
    intents_by_key = {
        key: existing
        for key, existing in bucket.intents_by_key.items()
        if existing.expires_s > now_s
    }
    existing = intents_by_key.get(key_digest)
    if existing and existing.token != intent.token:
        return result.Failure(
            Taken(
                message='the idempotency key was used before', intent=existing
            )
        )
    intents_by_key[key_digest] = intent
    if _is_full(intents_by_key):
        intents_by_key = _without_answers(intents_by_key)
    if _is_full(intents_by_key):
        return result.Failure(
            not_run_failures.IntentsFull(
                message='too many idempotency keys are in use',
                retry_after_s=1,
            )
        )
    return result.Success(
        records.replace(bucket, intents_by_key=intents_by_key)
    )


def apply_endings(
    bucket: Bucket, endings_by_key: Mapping[str, Ending]
) -> Bucket:
    """Return the bucket with endings applied.

    An ending whose intent is gone, or was replaced, is ignored.
    """
    intents_by_key = dict(bucket.intents_by_key)
    for key_digest, ending in endings_by_key.items():
        existing = intents_by_key.get(key_digest)
        if existing is None or existing.token != ending.token:
            continue
        if ending.released:
            intents_by_key.pop(key_digest)
        else:
            intents_by_key[key_digest] = records.replace(
                existing,
                answered=True,
                answer=ending.answer,
                expires_s=ending.expires_s,
            )
    return records.replace(bucket, intents_by_key=intents_by_key)


def _is_full(intents_by_key: Mapping[str, Intent]) -> bool:
    answers_bytes = sum(
        answer_sizes.answer_size_bytes(intent.answer)
        for intent in intents_by_key.values()
        if intent.answer is not None
    )
    return len(intents_by_key) * INTENT_BYTES + answers_bytes > MAX_BUCKET_BYTES


def _without_answers(intents_by_key: Mapping[str, Intent]) -> dict[str, Intent]:
    return {
        key_digest: records.replace(intent, answer=None)
        for key_digest, intent in intents_by_key.items()
    }
