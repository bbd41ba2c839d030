"""Read-modify-write of one key by compare-and-swap, many edits per write.

A lost reply is cleared up by reading the value back: it lists the ids of
the latest writes, so that a writer recognizes its own.
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

MAX_ATTEMPTS = 16
RECENT_EDITS = 64


@dataclasses.dataclass(frozen=True)
class Pending(Generic[Value]):
    """One edit that waits for the next write."""

    change: Change[Value]
    done: asyncio.Future[Edited[Value]]


class Editor(Generic[Value]):
    """Edits the value of one key, with group commit.

    ``window_s`` is how long an edit waits for others to share its write.
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
        self._known: keyvalue.Entry | None = None
        self._pending: list[Pending[Value]] = []
        self._writer: asyncio.Task[None] | None = None

    @property
    def known(self) -> keyvalue.Entry | None:
        """Return the entry that was last written or read here."""
        return self._known

    async def edit(self, change: Change[Value]) -> Edited[Value]:
        """Apply a change and return the value that was written.

        ``change`` must be pure: it runs again after a lost race.  Its own
        failure is returned as it is, with nothing written for it.  Other
        failures are those of ``keyvalue.WriteFailure``; ``Uncertain`` is
        the only one after which the change may be in force.
        """
        done: asyncio.Future[Edited[Value]] = asyncio.Future()
        self._pending.append(Pending(change, done))
        if self._writer is None or self._writer.done():
            self._writer = asyncio.create_task(self._write_pending())
        return await done

    async def read(self) -> Edited[Value]:
        """Return the present value."""
        found = await self._store.get(self._key)
        if isinstance(found, result.Failure):
            return found
        self._known = found.unwrap()
        return result.Success(self._decoded(self._known))

    async def _write_pending(self) -> None:
        while self._pending:
            await asyncio.sleep(self._window_s)
            batch, self._pending = self._pending, []
            try:
                await self._write(batch)
            except Exception as error:
                for pending in batch:
                    _settle(pending, error)
                raise

    async def _write(self, batch: list[Pending[Value]]) -> None:
        edit_id = uuid.uuid4().hex
        for _ in range(MAX_ATTEMPTS):
            outcomes = self._apply(batch, edit_id)
            written = await self._put(outcomes, edit_id)
            if isinstance(written, result.Success):
                _finish(batch, outcomes, written)
                return
            if not isinstance(written.failure(), keyvalue.Conflict):
                _finish(batch, outcomes, written)
                return
        _finish(batch, outcomes, written)

    def _apply(
        self, batch: list[Pending[Value]], edit_id: str
    ) -> list[Edited[Value]]:
        """Chain the changes; a change that fails leaves the value alone."""
        base = self._decoded(self._known)
        present = base
        outcomes: list[Edited[Value]] = []
        for pending in batch:
            outcome = pending.change(present)
            if isinstance(outcome, result.Success):
                present = outcome.unwrap()
            outcomes.append(outcome)
        recent = (*base.recent_edit_ids, edit_id)[-RECENT_EDITS:]
        final = records.replace(
            present,
            version=base.version + 1,
            edit_id=edit_id,
            recent_edit_ids=recent,
        )
        return [_carry(outcome, final) for outcome in outcomes]

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
            # Nothing to write, but what failed may have judged a stale value.
            return await self._confirm()
        revision = self._known.revision if self._known else keyvalue.ABSENT
        written = await self._store.put(
            self._key, records.pack(final), revision
        )
        if isinstance(written, result.Success):
            self._known = written.unwrap()
            return result.Success(final)
        return await self._clear_up(written.failure(), final)

    async def _confirm(self) -> Edited[Value]:
        before = self._known
        found = await self.read()
        if isinstance(found, result.Failure) or self._known == before:
            return found
        return result.Failure(keyvalue.Conflict(message='stale read'))

    async def _clear_up(
        self, failure: keyvalue.WriteFailure, final: Value
    ) -> Edited[Value]:
        if isinstance(failure, keyvalue.Unavailable | keyvalue.LeaseLost):
            return result.Failure(failure)
        found = await self.read()
        if isinstance(found, result.Failure):
            # A conflict wrote nothing, whatever became of the read.
            uncertain = isinstance(failure, keyvalue.Uncertain)
            return result.Failure(failure) if uncertain else found
        if final.edit_id in found.unwrap().recent_edit_ids:
            return found
        return result.Failure(keyvalue.Conflict(message='lost a race'))

    def _decoded(self, entry: keyvalue.Entry | None) -> Value:
        if entry is None:
            return self._initial
        return records.decode(entry.value, type(self._initial))


def _carry(outcome: Edited[Value], final: Value) -> Edited[Value]:
    if isinstance(outcome, result.Failure):
        return outcome
    return result.Success(final)


def _settle(pending: Pending[Value], error: Exception) -> None:
    if not pending.done.done():
        pending.done.set_exception(error)


def _finish(
    batch: list[Pending[Value]],
    outcomes: list[Edited[Value]],
    written: Edited[Value],
) -> None:
    for pending, outcome in zip(batch, outcomes, strict=True):
        if pending.done.done():
            continue
        refused = isinstance(outcome, result.Failure)
        confirmed = refused and isinstance(written, result.Success)
        pending.done.set_result(outcome if confirmed else written)
