"""Non-idempotent requests with an idempotency key: sent at most once.

The entry that rendezvous hashing names for the key's bucket takes the
request, which only saves work: safety comes from the compare-and-swap that
records the intent, and from the rule that nobody but the attempt that
recorded it may ever send.
"""

import asyncio
import dataclasses
import uuid
from collections.abc import Awaitable, Callable, Sequence

from returns import result

from jackdawlatch.entry import (
    intent_records,
    intents,
    memory,
    outcomes,
    refusals,
    surroundings,
)
from jackdawlatch.model import failures, work

RETRY_AFTER_S = 1

Send = Callable[[work.Request], Awaitable[outcomes.Outcome]]


@dataclasses.dataclass(frozen=True)
class Flight:
    """A request that this process works on, and how it will end."""

    fingerprint: str
    task: asyncio.Task[outcomes.Outcome]


class Keyed:
    """Takes keyed requests to their one outcome.

    ``vouches`` says whether this process would know of every copy that was
    sent of the keys in a bucket, so that it can tell a request as not run
    while the store is away.
    """

    def __init__(
        self,
        around: surroundings.Surroundings,
        buckets: Sequence[intents.Intents],
        send: Send,
        key_window_s: float,
        vouches: Callable[[int], bool],
    ) -> None:
        self._around = around
        self._clock = around.clock
        self._send = send
        self._buckets = buckets
        self._key_window_s = key_window_s
        self._vouches = vouches
        self._memory = memory.Memory(around.clock, key_window_s)
        self._flights_by_scope: dict[str, Flight] = {}

    @property
    def in_flight(self) -> int:
        """How many requests this process works on."""
        return len(self._flights_by_scope)

    def bucket_of(self, request: work.Request) -> int:
        """Return the number of the bucket of a request's key."""
        scope = intent_records.scope_of(request)
        return intent_records.number_of(scope, len(self._buckets))

    async def attend(self, request: work.Request) -> outcomes.Outcome:
        """Send a request unless a copy was sent before; return its outcome.

        A copy gets the same outcome: from memory, by joining the attempt in
        flight, or from the store.
        """
        scope = intent_records.scope_of(request)
        fingerprint = intent_records.fingerprint_of(request)
        remembered = self._memory.find(scope)
        if remembered is not None:
            self._around.meters.count('keyed_copies', source='memory')
            if remembered.fingerprint != fingerprint:
                return _reused()
            return remembered.outcome
        flight = self._flights_by_scope.get(scope)
        if flight is None:
            flight = self._start(request, scope, fingerprint)
        elif flight.fingerprint == fingerprint:
            self._around.meters.count('keyed_copies', source='flight')
        else:
            return _reused()
        return await self._join(flight, request)

    async def flush(self) -> None:
        """Write every ending that is not written yet."""
        await asyncio.gather(*(bucket.flush() for bucket in self._buckets))

    def _start(
        self, request: work.Request, scope: str, fingerprint: str
    ) -> Flight:
        task = asyncio.create_task(self._fly(request, scope, fingerprint))
        flight = Flight(fingerprint, task)
        self._flights_by_scope[scope] = flight
        task.add_done_callback(lambda _: self._flights_by_scope.pop(scope))
        return flight

    async def _join(
        self, flight: Flight, request: work.Request
    ) -> outcomes.Outcome:
        left_s = request.deadline_s - self._clock.wall_s()
        done, _ = await asyncio.wait((flight.task,), timeout=max(0, left_s))
        if done:
            return flight.task.result()
        return result.Failure(
            refusals.StillRunning(
                message='the deadline passed before the outcome was known',
                hint='ask again with the same key',
            )
        )

    async def _fly(
        self, request: work.Request, scope: str, fingerprint: str
    ) -> outcomes.Outcome:
        number = intent_records.number_of(scope, len(self._buckets))
        bucket = self._buckets[number]
        intent = intent_records.Intent(
            token=uuid.uuid4().hex,
            fingerprint=fingerprint,
            expires_s=request.deadline_s + self._key_window_s,
        )
        recorded = await bucket.record(scope, intent)
        if isinstance(recorded, result.Failure):
            failure = recorded.failure()
            if not isinstance(failure, intent_records.Taken):
                # The write may yet take effect; nobody will ever send for it.
                bucket.end(scope, _release(intent))
            return self._refused(number, scope, intent, failure)
        outcome = await self._send(request)
        self._finish(bucket, scope, intent, outcome)
        return outcome

    def _finish(
        self,
        bucket: intents.Intents,
        scope: str,
        intent: intent_records.Intent,
        outcome: outcomes.Outcome,
    ) -> None:
        if isinstance(outcome, result.Success):
            expires_s = self._clock.wall_s() + self._key_window_s
            ending = intent_records.ending_of(
                intent.token, outcome.unwrap(), expires_s
            )
            bucket.end(scope, ending)
        elif not isinstance(outcome.failure(), failures.OutcomeUnknown):
            bucket.end(scope, _release(intent))
            return
        self._memory.put(scope, intent.fingerprint, outcome)

    def _refused(
        self,
        number: int,
        scope: str,
        intent: intent_records.Intent,
        failure: failures.Problem,
    ) -> outcomes.Outcome:
        """Return the outcome of a request whose intent was not recorded."""
        if isinstance(failure, intent_records.Taken):
            return _from_record(failure.intent, intent.fingerprint)
        if isinstance(failure, intent_records.BucketFull):
            return result.Failure(failure)
        self._around.meters.count('intents_not_kept', code=failure.code)
        known = self._buckets[number].known(scope)
        if known is not None:
            return _from_record(known, intent.fingerprint)
        if self._vouches(number):
            return result.Failure(
                refusals.IntentNotKept(
                    message='the store is away, so that nothing was sent',
                    hint='send it again with the same key',
                    retry_after_s=RETRY_AFTER_S,
                )
            )
        return result.Failure(
            refusals.KeyUnknown(
                message='nothing was sent now, but a copy may have been before',
                hint='ask again with the same key',
            )
        )


def _from_record(
    known: intent_records.Intent, fingerprint: str
) -> outcomes.Outcome:
    if known.fingerprint != fingerprint:
        return _reused()
    if known.answer is not None:
        return result.Success(known.answer)
    if known.answered:
        return result.Failure(
            refusals.AnswerNotKept(message='a copy was run and answered')
        )
    return result.Failure(
        refusals.SentBefore(
            message='a copy may have been sent; it is never sent again',
            hint='ask again later with the same key',
        )
    )


def _release(intent: intent_records.Intent) -> intent_records.Ending:
    return intent_records.Ending(
        token=intent.token, released=True, expires_s=intent.expires_s
    )


def _reused() -> outcomes.Outcome:
    return result.Failure(
        refusals.KeyReused(
            message='the key was used for a different request',
            hint='take a new key for each request',
            path='Idempotency-Key',
            expected='a key of its own for each request',
        )
    )
