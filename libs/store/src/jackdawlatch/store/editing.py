"""Read-modify-write of one key by compare-and-swap, many edits per write.

After a lost reply the value is read back: it lists the ids of the latest
writes, so that a writer can tell whether its own took effect.
"""

import asyncio
import dataclasses
import uuid
from collections.abc import Callable
from typing import Generic, TypeVar

from returns import result

from jackdawlatch.model import failures, records
from jackdawlatch.store import keyvalue

Value = TypeVar('Value', bound=records.Versioned)
Change = Callable[[Value], result.Result[Value, failures.Problem]]
Edited = result.Result[Value, failures.Problem]

# How often a batch is written before its edits fail with a conflict.
MAX_ATTEMPTS = 16
# How many ids of earlier writes a value lists.
MAX_RECENT_EDITS = 64


@dataclasses.dataclass(frozen=True)
class Pending(Generic[Value]):
    """An edit that waits for the next write; ``done`` gets its outcome."""

    change: Change[Value]
    done: asyncio.Future[Edited[Value]]


class Editor(Generic[Value]):
    """Edits the value of one key, with group commit.

    ``initial`` stands for a key that does not exist.  ``window_s`` is how
    long a write is delayed so that other edits can join its batch.
    """

    def __init__(
        self,
        store: keyvalue.Store,
        key: str,
        initial: Value,
        window_s: float = 0,
    ) -> None:
        self._store = store
        self._key = key
        self._initial = initial
        self._window_s = window_s
        self._last_entry: keyvalue.Entry | None = None
        self._pending: list[Pending[Value]] = []
        self._writer: asyncio.Task[None] | None = None
        # The revision expected by a put that may still take effect: its reply
        # was lost, and the key has not been seen at another revision since.
        self._uncertain_revision: int | None = None

    @property
    def last_entry(self) -> keyvalue.Entry | None:
        """Return the entry that this editor wrote or read last."""
        return self._last_entry

    async def edit(self, change: Change[Value]) -> Edited[Value]:
        """Apply a change and return the value that was written.

        ``change`` must be pure: it runs again when another writer changed the
        value first.  A failure that it returns is passed on, and nothing is
        written for it.  Other failures are those of ``keyvalue.WriteFailure``;
        ``Uncertain`` is the only one after which the change may be stored.
        """
        done: asyncio.Future[Edited[Value]] = asyncio.Future()
        self._pending.append(Pending(change, done))
        if self._writer is None or self._writer.done():
            self._writer = asyncio.create_task(self._write_pending())
        return await done

    async def read(self) -> Edited[Value]:
        """Return the current value; fails with ``keyvalue.Unavailable``."""
        found = await self._store.get(self._key)
        if isinstance(found, result.Failure):
            return found
        self._last_entry = found.unwrap()
        return result.Success(_decoded(self._initial, self._last_entry))

    async def _write_pending(self) -> None:
        while self._pending:
            await asyncio.sleep(self._window_s)
            batch, self._pending = self._pending, []
            try:
                await self._write(batch)
            except Exception as error:
                for pending in batch:
                    _fail(pending, error)
                raise

    async def _write(self, batch: list[Pending[Value]]) -> None:
        edit_id = uuid.uuid4().hex
        self._uncertain_revision = None
        for _ in range(MAX_ATTEMPTS):
            outcomes = self._apply(batch, edit_id)
            written = await self._put(outcomes, edit_id)
            if isinstance(written, result.Success):
                _resolve(batch, outcomes, written)
                return
            if not isinstance(written.failure(), keyvalue.Conflict):
                break
        _resolve(batch, outcomes, self._outcome_of_batch(written))

    def _outcome_of_batch(self, written: Edited[Value]) -> Edited[Value]:
        """Return the outcome; uncertain if an earlier put may still land."""
        uncertain = self._uncertain_revision is not None
        if uncertain and not isinstance(written.failure(), keyvalue.Uncertain):
            return result.Failure(
                keyvalue.Uncertain(message=written.failure().message)
            )
        return written

    def _apply(
        self, batch: list[Pending[Value]], edit_id: str
    ) -> list[Edited[Value]]:
        """Apply the changes in turn, and skip those that fail.

        A change that follows another one gets the version that both are
        written as.
        """
        base = _decoded(self._initial, self._last_entry)
        current = base
        outcomes: list[Edited[Value]] = []
        for pending in batch:
            outcome = pending.change(current)
            if isinstance(outcome, result.Success):
                current = records.replace(
                    outcome.unwrap(), version=base.version + 1
                )
            outcomes.append(outcome)
        recent = (*base.recent_edit_ids, edit_id)[-MAX_RECENT_EDITS:]
        final = records.replace(
            current,
            version=base.version + 1,
            edit_id=edit_id,
            recent_edit_ids=recent,
        )
        return [_replace_success(outcome, final) for outcome in outcomes]

    async def _put(
        self, outcomes: list[Edited[Value]], edit_id: str
    ) -> Edited[Value]:
        final = next(
            (
                one.unwrap()
                for one in outcomes
                if isinstance(one, result.Success)
            ),
            None,
        )
        if final is None:
            # All changes failed, perhaps only because they saw a stale value.
            return await self._confirm_rejections()
        revision = _revision_of(self._last_entry)
        written = await self._store.put(
            self._key, records.pack(final), revision
        )
        if isinstance(written, result.Success):
            self._last_entry = written.unwrap()
            return result.Success(final)
        if isinstance(written.failure(), keyvalue.Uncertain):
            self._uncertain_revision = revision
        return await self._resolve_failure(written.failure(), final)

    async def _confirm_rejections(self) -> Edited[Value]:
        before = self._last_entry
        found = await self.read()
        if isinstance(found, result.Failure) or self._last_entry == before:
            return found
        return result.Failure(
            keyvalue.Conflict(message='rejected on a stale value')
        )

    async def _resolve_failure(
        self, failure: keyvalue.WriteFailure, final: Value
    ) -> Edited[Value]:
        if isinstance(failure, keyvalue.Unavailable | keyvalue.LeaseLost):
            return result.Failure(failure)
        found = await self.read()
        if isinstance(found, result.Failure):
            # After a conflict nothing was written, so the read's failure holds.
            uncertain = isinstance(failure, keyvalue.Uncertain)
            return result.Failure(failure) if uncertain else found
        if final.edit_id in found.unwrap().recent_edit_ids:
            return found
        if self._uncertain_revision != _revision_of(self._last_entry):
            # Another write changed the revision, so the uncertain put fails.
            self._uncertain_revision = None
        return result.Failure(
            keyvalue.Conflict(message='another writer changed the key')
        )


def _decoded(initial: Value, entry: keyvalue.Entry | None) -> Value:
    if entry is None:
        return initial
    return records.decode(entry.value, type(initial))


def _revision_of(entry: keyvalue.Entry | None) -> int:
    return entry.revision if entry else keyvalue.ABSENT


def _replace_success(outcome: Edited[Value], final: Value) -> Edited[Value]:
    if isinstance(outcome, result.Failure):
        return outcome
    return result.Success(final)


def _fail(pending: Pending[Value], error: Exception) -> None:
    if not pending.done.done():
        pending.done.set_exception(error)


def _resolve(
    batch: list[Pending[Value]],
    outcomes: list[Edited[Value]],
    written: Edited[Value],
) -> None:
    for pending, outcome in zip(batch, outcomes, strict=True):
        if pending.done.done():
            continue
        rejected = isinstance(outcome, result.Failure)
        rejection_confirmed = rejected and isinstance(written, result.Success)
        pending.done.set_result(outcome if rejection_confirmed else written)
