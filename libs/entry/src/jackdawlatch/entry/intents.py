"""Keeps the intents of one bucket in the platform's store."""

import asyncio

from returns import result

from jackdawlatch.entry import intent_records
from jackdawlatch.model import clocks, failures
from jackdawlatch.store import editing, keyvalue

# An ending waits this long for the write of an intent that it can share.
ENDING_DELAY_S = 2

Recorded = result.Result[None, failures.Problem]


class Intents:
    """One bucket: records intents before, and endings after, the sending.

    Endings go along with the writes of intents, so that a request costs at
    most one write, and less when several share it.
    """

    def __init__(
        self,
        store: keyvalue.Store,
        number: int,
        clock: clocks.Clock,
        window_s: float,
    ) -> None:
        self.contact_s: float | None = None
        self._clock = clock
        self._editor = editing.Editor(
            store,
            f'{intent_records.KEY_PREFIX}{number}',
            intent_records.Bucket(),
            window_s,
        )
        self._seen = intent_records.Bucket()
        self._endings_by_key: dict[str, intent_records.Ending] = {}
        self._flush: asyncio.Task[bool] | None = None

    def known(self, scope: str) -> intent_records.Intent | None:
        """Return the intent of a key as it was last seen in the store."""
        found = self._seen.intents_by_key.get(scope)
        if found is None or found.expires_s <= self._clock.wall_s():
            return None
        return found

    def holds(self, scope: str, token: str) -> bool:
        """Say whether the bucket as last seen has an attempt's intent."""
        found = self._seen.intents_by_key.get(scope)
        return found is not None and found.token == token

    async def record(
        self, scope: str, intent: intent_records.Intent
    ) -> Recorded:
        """Write an intent down; only after success may its request be sent.

        Failures are ``intent_records.Taken``, ``intent_records.BucketFull``
        and those of ``keyvalue.WriteFailure``.
        """
        now_s = self._clock.wall_s()
        if self._endings_by_key:
            self._write_endings()

        def change(bucket: intent_records.Bucket) -> Edited:
            return intent_records.insert(bucket, scope, intent, now_s)

        # Endings that are asked for first are applied first, in one write.
        asked_s = self._clock.monotonic_s()
        written = await self._editor.edit(change)
        self._see(written, asked_s)
        return written.map(_nothing)

    def end(self, scope: str, ending: intent_records.Ending) -> None:
        """Keep how an attempt ended, to be written soon."""
        self._endings_by_key[scope] = ending
        if self._flush is None or self._flush.done():
            self._flush = asyncio.create_task(self._flush_later())

    async def flush(self) -> bool:
        """Write all endings now; say whether that succeeded."""
        if not self._endings_by_key:
            return True
        return await self._write_endings()

    async def refresh(self) -> bool:
        """Read the bucket; say whether that succeeded."""
        asked_s = self._clock.monotonic_s()
        found = await self._editor.read()
        self._see(found, asked_s)
        return isinstance(found, result.Success)

    async def _flush_later(self) -> bool:
        written = False
        while not written:
            await asyncio.sleep(ENDING_DELAY_S)
            written = await self.flush()
        return written

    def _write_endings(self) -> asyncio.Task[bool]:
        return asyncio.create_task(self._edit(dict(self._endings_by_key)))

    async def _edit(
        self, endings_by_key: dict[str, intent_records.Ending]
    ) -> bool:
        def change(bucket: intent_records.Bucket) -> Edited:
            return result.Success(intent_records.end(bucket, endings_by_key))

        asked_s = self._clock.monotonic_s()
        written = await self._editor.edit(change)
        self._see(written, asked_s)
        if isinstance(written, result.Failure):
            self._drop_expired()
            return False
        for scope, ending in endings_by_key.items():
            if self._endings_by_key.get(scope) is ending:
                self._endings_by_key.pop(scope)
        return True

    def _see(self, value: 'Edited', asked_s: float) -> None:
        if isinstance(value, result.Failure):
            return
        if value.unwrap().version >= self._seen.version:
            self._seen = value.unwrap()
            self.contact_s = asked_s

    def _drop_expired(self) -> None:
        now_s = self._clock.wall_s()
        self._endings_by_key = {
            scope: ending
            for scope, ending in self._endings_by_key.items()
            if ending.expires_s > now_s
        }


Edited = editing.Edited[intent_records.Bucket]


def _nothing(_bucket: intent_records.Bucket) -> None:
    """Return nothing."""
