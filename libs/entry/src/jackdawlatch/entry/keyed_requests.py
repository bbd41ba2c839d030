"""Sends non-idempotent requests with an idempotency key at most once.

Requests go to the entry that rendezvous hashing selects for the key's
bucket.  That is only an optimization: at-most-once is ensured by the
compare-and-swap that records the intent, and by the rule that only the
attempt that recorded the intent may send the request.
"""

import asyncio
import dataclasses
import secrets
from collections.abc import Awaitable, Callable, Sequence

from returns import result

from jackdawlatch.entry import (
    duplicate_outcomes,
    intent_keys,
    intent_records,
    intent_store,
    not_run_failures,
    outcome_cache,
    outcomes,
    shared_dependencies,
)
from jackdawlatch.model import failures, work
from jackdawlatch.store import keyvalue

TOKEN_BYTES = 8
# An attempt ends at its own deadline, with a more specific outcome than
# "still running", so duplicates wait slightly beyond theirs.
JOIN_GRACE_S = 0.1

Send = Callable[[work.Request], Awaitable[outcomes.Outcome]]


@dataclasses.dataclass(frozen=True)
class Attempt:
    """An attempt in progress at this process."""

    fingerprint: str
    task: asyncio.Task[outcomes.Outcome]


class KeyedRequests:
    """Handles keyed requests; duplicates get the outcome of the first one.

    ``knows_all_attempts`` returns whether this process knows of every attempt
    under the keys of a bucket.  Only then can it report a request as not run
    while the store is unavailable.
    """

    def __init__(
        self,
        dependencies: shared_dependencies.Dependencies,
        buckets: Sequence[intent_store.IntentStore],
        send: Send,
        key_window_s: float,
        knows_all_attempts: Callable[[int], bool],
    ) -> None:
        self._dependencies = dependencies
        self._clock = dependencies.clock
        self._send = send
        self._buckets = buckets
        self._key_window_s = key_window_s
        self._knows_all_attempts = knows_all_attempts
        self._cache = outcome_cache.OutcomeCache(
            dependencies.clock, key_window_s
        )
        self._attempts_by_key_digest: dict[str, Attempt] = {}

    @property
    def in_flight(self) -> int:
        """Return the number of requests that are in progress."""
        return len(self._attempts_by_key_digest)

    def bucket_of(self, request: work.Request) -> int:
        """Return the number of the bucket of a request's key."""
        key_digest = intent_keys.key_digest_of(request)
        return intent_keys.bucket_number_of(key_digest, len(self._buckets))

    async def handle_request(self, request: work.Request) -> outcomes.Outcome:
        """Send a request unless a duplicate was sent; return its outcome.

        A duplicate gets the outcome from the cache, by waiting for the attempt
        in flight, or from the store.
        """
        key_digest = intent_keys.key_digest_of(request)
        fingerprint = intent_keys.fingerprint_of(request)
        cached = self._cache.find(key_digest)
        if cached is not None:
            self._dependencies.meters.count('keyed_copies', source='memory')
            if cached.fingerprint != fingerprint:
                return duplicate_outcomes.key_reused()
            return cached.outcome
        attempt = self._attempts_by_key_digest.get(key_digest)
        if attempt is None:
            attempt = self._start(request, key_digest, fingerprint)
        elif attempt.fingerprint == fingerprint:
            self._dependencies.meters.count('keyed_copies', source='flight')
        else:
            return duplicate_outcomes.key_reused()
        return await self._join(attempt, request)

    async def flush(self) -> None:
        """Write all endings that are pending."""
        await asyncio.gather(*(bucket.flush() for bucket in self._buckets))

    def _start(
        self, request: work.Request, key_digest: str, fingerprint: str
    ) -> Attempt:
        task = asyncio.create_task(
            self._attempt(request, key_digest, fingerprint)
        )
        attempt = Attempt(fingerprint, task)
        self._attempts_by_key_digest[key_digest] = attempt
        task.add_done_callback(
            lambda _: self._attempts_by_key_digest.pop(key_digest)
        )
        return attempt

    async def _join(
        self, attempt: Attempt, request: work.Request
    ) -> outcomes.Outcome:
        left_s = request.deadline_s - self._clock.wall_s()
        done, _ = await asyncio.wait(
            (attempt.task,), timeout=max(0, left_s) + JOIN_GRACE_S
        )
        if done:
            return attempt.task.result()
        return duplicate_outcomes.still_running()

    async def _attempt(
        self, request: work.Request, key_digest: str, fingerprint: str
    ) -> outcomes.Outcome:
        bucket_number = intent_keys.bucket_number_of(
            key_digest, len(self._buckets)
        )
        bucket = self._buckets[bucket_number]
        intent = intent_records.Intent(
            token=secrets.token_hex(TOKEN_BYTES),
            fingerprint=fingerprint,
            expires_s=request.deadline_s + self._key_window_s,
        )
        recorded = await self._record(request, bucket, key_digest, intent)
        if isinstance(recorded, result.Failure):
            failure = recorded.failure()
            if not isinstance(failure, intent_records.Taken):
                # The write may still take effect, so release the intent: no
                # attempt will send the request for it.
                bucket.add_ending(key_digest, intent_records.release_of(intent))
            return self._outcome_without_intent(
                bucket_number, key_digest, intent, failure
            )
        self._dependencies.invariants.check(
            bucket.holds(key_digest, intent.token),
            'intent-before-sending',
            key_digest,
        )
        outcome = await self._send(request)
        if self._clock.wall_s() >= intent.expires_s:
            # This process was paused beyond the intent's expiry, so a
            # duplicate may have run.
            outcome = outcomes.as_unknown(
                outcome, 'the intent expired before the answer arrived'
            )
        self._finish(bucket, key_digest, intent, outcome)
        return outcome

    async def _record(
        self,
        request: work.Request,
        bucket: intent_store.IntentStore,
        key_digest: str,
        intent: intent_records.Intent,
    ) -> intent_store.Recorded:
        """Record the intent, by the deadline of the request at the latest."""
        left_s = request.deadline_s - self._clock.wall_s()
        try:
            async with asyncio.timeout(max(0, left_s)):
                return await bucket.record(key_digest, intent)
        except TimeoutError:
            return result.Failure(
                keyvalue.Uncertain(
                    message='the intent was not written by the deadline'
                )
            )

    def _finish(
        self,
        bucket: intent_store.IntentStore,
        key_digest: str,
        intent: intent_records.Intent,
        outcome: outcomes.Outcome,
    ) -> None:
        if isinstance(outcome, result.Success):
            expires_s = self._clock.wall_s() + self._key_window_s
            ending = intent_records.ending_of(
                intent.token, outcome.unwrap(), expires_s
            )
            bucket.add_ending(key_digest, ending)
        elif not isinstance(outcome.failure(), failures.OutcomeUnknown):
            bucket.add_ending(key_digest, intent_records.release_of(intent))
            return
        self._cache.put(key_digest, intent.fingerprint, outcome)

    def _outcome_without_intent(
        self,
        bucket_number: int,
        key_digest: str,
        intent: intent_records.Intent,
        failure: failures.Problem,
    ) -> outcomes.Outcome:
        """Return the outcome of a request whose intent was not recorded."""
        if isinstance(failure, intent_records.Taken):
            return duplicate_outcomes.from_intent(
                failure.intent, intent.fingerprint
            )
        if isinstance(failure, not_run_failures.IntentsFull):
            return result.Failure(failure)
        self._dependencies.meters.count('intents_not_kept', code=failure.code)
        existing = self._buckets[bucket_number].find(key_digest)
        if existing is not None:
            return duplicate_outcomes.from_intent(existing, intent.fingerprint)
        return duplicate_outcomes.intent_not_recorded(
            self._knows_all_attempts(bucket_number)
        )
