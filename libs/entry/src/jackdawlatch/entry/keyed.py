"""Non-idempotent requests with an idempotency key: sent at most once.

The entry that rendezvous hashing names for the key's bucket takes the
request, which only saves work: safety comes from the compare-and-swap that
records the intent, and from the rule that nobody but the attempt that
recorded it may ever send.
"""

import asyncio
import dataclasses
import secrets
from collections.abc import Awaitable, Callable, Sequence

from returns import result

from jackdawlatch.entry import (
    copies,
    intent_keys,
    intent_records,
    intents,
    memory,
    outcomes,
    surroundings,
    unsent,
)
from jackdawlatch.model import failures, work

TOKEN_BYTES = 8

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
        scope = intent_keys.scope_of(request)
        return intent_keys.number_of(scope, len(self._buckets))

    async def attend(self, request: work.Request) -> outcomes.Outcome:
        """Send a request unless a copy was sent before; return its outcome.

        A copy gets the same outcome: from memory, by joining the attempt in
        flight, or from the store.
        """
        scope = intent_keys.scope_of(request)
        fingerprint = intent_keys.fingerprint_of(request)
        remembered = self._memory.find(scope)
        if remembered is not None:
            self._around.meters.count('keyed_copies', source='memory')
            if remembered.fingerprint != fingerprint:
                return copies.reused()
            return remembered.outcome
        flight = self._flights_by_scope.get(scope)
        if flight is None:
            flight = self._start(request, scope, fingerprint)
        elif flight.fingerprint == fingerprint:
            self._around.meters.count('keyed_copies', source='flight')
        else:
            return copies.reused()
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
        return copies.still_running()

    async def _fly(
        self, request: work.Request, scope: str, fingerprint: str
    ) -> outcomes.Outcome:
        number = intent_keys.number_of(scope, len(self._buckets))
        bucket = self._buckets[number]
        intent = intent_records.Intent(
            token=secrets.token_hex(TOKEN_BYTES),
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
        self._around.invariants.check(
            bucket.holds(scope, intent.token), 'intent-before-sending', scope
        )
        outcome = await self._send(request)
        if self._clock.wall_s() >= intent.expires_s:
            # This process was paused for so long that a copy may have run.
            outcome = outcomes.as_unknown(outcome, 'the intent has expired')
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
            return copies.from_record(failure.intent, intent.fingerprint)
        if isinstance(failure, unsent.IntentsFull):
            return result.Failure(failure)
        self._around.meters.count('intents_not_kept', code=failure.code)
        known = self._buckets[number].known(scope)
        if known is not None:
            return copies.from_record(known, intent.fingerprint)
        return copies.not_kept(self._vouches(number))


def _release(intent: intent_records.Intent) -> intent_records.Ending:
    return intent_records.Ending(
        token=intent.token, released=True, expires_s=intent.expires_s
    )
