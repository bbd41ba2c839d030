"""The recorded intents of one bucket, and the changes made to them.

An intent is written before its request is sent.  Only the attempt whose
token is in the bucket may ever send.  An intent is kept until no copy can
come any more: for a window after the deadline, or after the known end.
"""

import hashlib
from collections.abc import Mapping
from typing import ClassVar

import xxhash
from returns import result

from jackdawlatch.model import failures, records, work
from jackdawlatch.store import editing

KEY_PREFIX = 'intents/'
DIGEST_BYTES = 16
MAX_KEPT_BODY_BYTES = 4096
MAX_BUCKET_BYTES = 900_000
RECORD_BYTES = 160


class Intent(records.Record, frozen=True, kw_only=True):
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


class BucketFull(failures.NotRun, frozen=True, kw_only=True):
    """No more intents fit into the bucket at present."""

    code: ClassVar[str] = 'intents-full'


def scope_of(request: work.Request) -> str:
    """Return the digest under which a request's key is kept."""
    parts = (request.kind.team, request.kind.service, request.key)
    return _digest('\0'.join(parts).encode())


def fingerprint_of(request: work.Request) -> str:
    """Return a digest of all that makes a request a different one."""
    head = f'{request.method}\0{request.path}\0'
    return _digest(head.encode() + request.body)


def number_of(scope: str, buckets: int) -> int:
    """Return the bucket that a key belongs to."""
    return int(xxhash.xxh3_64_intdigest(scope.encode()) % buckets)


def ending_of(token: str, answer: work.Answer, expires_s: float) -> Ending:
    """Return the ending of an answered attempt; a large answer is left out."""
    size_bytes = _size_of_answer(answer)
    kept = answer if size_bytes <= MAX_KEPT_BODY_BYTES else None
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
    if _size_bytes(intents_by_key) > MAX_BUCKET_BYTES:
        intents_by_key = _without_answers(intents_by_key)
    if _size_bytes(intents_by_key) > MAX_BUCKET_BYTES:
        return result.Failure(
            BucketFull(
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


def _digest(content: bytes) -> str:
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).hexdigest()


def _without_answers(intents_by_key: Mapping[str, Intent]) -> dict[str, Intent]:
    return {
        scope: records.replace(intent, answer=None)
        for scope, intent in intents_by_key.items()
    }


def _size_bytes(intents_by_key: Mapping[str, Intent]) -> int:
    return sum(
        RECORD_BYTES + _size_of_answer(intent.answer)
        for intent in intents_by_key.values()
    )


def _size_of_answer(answer: work.Answer | None) -> int:
    if answer is None:
        return 0
    in_headers = sum(len(name) + len(text) + 4 for name, text in answer.headers)
    return in_headers + len(answer.body)
