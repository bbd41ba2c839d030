"""Records the intents of one bucket in the platform's store."""

import asyncio

from returns import result

from jackdawlatch.entry import intent_records
from jackdawlatch.model import clocks, failures
from jackdawlatch.store import editing, keyvalue

# An ending waits this long to be written together with an intent.
ENDING_DELAY_S = 2

Recorded = result.Result[None, failures.Problem]


class IntentStore:
    """Records intents before a request is sent, and endings afterwards.

    Endings wait up to ``ENDING_DELAY_S`` for the write of an intent to share,
    so that a busy bucket needs about one write per request, and fewer if
    several requests share one.  ``last_read_s`` is when the last read or write
    that succeeded began, on the monotonic clock.
    """

    def __init__(
        self,
        store: keyvalue.Store,
        bucket_number: int,
        clock: clocks.Clock,
        window_s: float,
    ) -> None:
        self.last_read_s: float | None = None
        self._clock = clock
        self._editor = editing.Editor(
            store,
            f'{intent_records.KEY_PREFIX}{bucket_number}',
            intent_records.Bucket(),
            window_s,
        )
        self._cached_bucket = intent_records.Bucket()
        self._endings_by_key: dict[str, intent_records.Ending] = {}
        self._flush: asyncio.Task[bool] | None = None

    def find(self, key_digest: str) -> intent_records.Intent | None:
        """Return the intent of a key as last read, unless it has expired."""
        found = self._cached_bucket.intents_by_key.get(key_digest)
        if found is None or found.expires_s <= self._clock.wall_s():
            return None
        return found

    def holds(self, key_digest: str, token: str) -> bool:
        """Return whether the bucket as last read has an attempt's intent."""
        found = self._cached_bucket.intents_by_key.get(key_digest)
        return found is not None and found.token == token

    async def record(
        self, key_digest: str, intent: intent_records.Intent
    ) -> Recorded:
        """Record an intent; its request may be sent only after success.

        Failures are ``intent_records.Taken``, ``not_run_failures.IntentsFull``
        and those of ``keyvalue.WriteFailure``.
        """
        now_s = self._clock.wall_s()
        if self._endings_by_key:
            self._write_endings()

        def change(bucket: intent_records.Bucket) -> Edited:
            return intent_records.insert(bucket, key_digest, intent, now_s)

        # The endings were submitted first, so they are applied first, in the
        # same write.
        requested_s = self._clock.monotonic_s()
        written = await self._editor.edit(change)
        self._update_cached_bucket(written, requested_s)
        return written.map(_to_none)

    def add_ending(
        self, key_digest: str, ending: intent_records.Ending
    ) -> None:
        """Add how an attempt ended, to be written within a few seconds."""
        self._endings_by_key[key_digest] = ending
        if self._flush is None or self._flush.done():
            self._flush = asyncio.create_task(self._flush_later())

    async def flush(self) -> bool:
        """Write all pending endings; return whether that succeeded."""
        if not self._endings_by_key:
            return True
        return await self._write_endings()

    async def refresh(self) -> bool:
        """Read the bucket; return whether that succeeded."""
        requested_s = self._clock.monotonic_s()
        found = await self._editor.read()
        self._update_cached_bucket(found, requested_s)
        return isinstance(found, result.Success)

    async def _flush_later(self) -> bool:
        written = False
        while not written:
            await asyncio.sleep(ENDING_DELAY_S)
            written = await self.flush()
        return written

    def _write_endings(self) -> asyncio.Task[bool]:
        return asyncio.create_task(
            self._apply_endings(dict(self._endings_by_key))
        )

    async def _apply_endings(
        self, endings_by_key: dict[str, intent_records.Ending]
    ) -> bool:
        def change(bucket: intent_records.Bucket) -> Edited:
            return result.Success(
                intent_records.apply_endings(bucket, endings_by_key)
            )

        requested_s = self._clock.monotonic_s()
        written = await self._editor.edit(change)
        self._update_cached_bucket(written, requested_s)
        if isinstance(written, result.Failure):
            self._drop_expired()
            return False
        for key_digest, ending in endings_by_key.items():
            if self._endings_by_key.get(key_digest) is ending:
                self._endings_by_key.pop(key_digest)
        return True

    def _update_cached_bucket(
        self, value: 'Edited', requested_s: float
    ) -> None:
        if isinstance(value, result.Failure):
            return
        if value.unwrap().version >= self._cached_bucket.version:
            self._cached_bucket = value.unwrap()
            self.last_read_s = requested_s

    def _drop_expired(self) -> None:
        now_s = self._clock.wall_s()
        self._endings_by_key = {
            key_digest: ending
            for key_digest, ending in self._endings_by_key.items()
            if ending.expires_s > now_s
        }


Edited = editing.Edited[intent_records.Bucket]


def _to_none(_bucket: intent_records.Bucket) -> None:
    """Drop the value of a successful edit."""
