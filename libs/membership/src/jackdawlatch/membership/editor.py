"""Edits a shard's stored value by compare-and-swap."""

import dataclasses
from collections.abc import Sequence

from returns import result

from jackdawlatch.membership import budget, refusals, shards, transitions
from jackdawlatch.model import clocks, failures, records
from jackdawlatch.store import editing, keyvalue

EditResult = result.Result[shards.Shard, failures.Problem]
BatchResult = result.Result[transitions.Outcome, failures.Problem]


@dataclasses.dataclass
class _LastAttempt:
    """The outcome of the last attempt; an edit retries after a lost race."""

    outcome: transitions.Outcome | None = None


class Editor:
    """Applies transitions to the current value in the store."""

    def __init__(
        self, store: keyvalue.Store, shard: str, clock: clocks.Clock
    ) -> None:
        self._clock = clock
        self._editor = editing.Editor(store, shards.key(shard), shards.Shard())
        self._decoded = shards.Shard()
        self._decoded_revision = 0

    async def read(self) -> EditResult:
        """Return the current value, read from the store."""
        return await self._editor.read()

    async def read_at_least(self, newest_revision: int) -> EditResult:
        """Return the value at ``newest_revision`` of the store, or later.

        The store is read only if this editor's cached value is older.
        """
        known = self._editor.known
        if known is None or known.revision < newest_revision:
            return await self.read()
        if known.revision != self._decoded_revision:
            self._decoded = records.decode(known.value, shards.Shard)
            self._decoded_revision = known.revision
        return result.Success(self._decoded)

    async def apply_all(
        self, steps: Sequence[transitions.Transition], limits: budget.Limits
    ) -> EditResult:
        """Apply all transitions in one write, or none.

        Returns the value that was written, the first ``refusals.Refusal``,
        or the store's failure.
        """

        def change(value: shards.Shard) -> EditResult:
            return transitions.apply_all(
                value, steps, limits, self._clock.wall_s()
            )

        return await self._editor.edit(change)

    async def apply_each(
        self, steps: Sequence[transitions.Transition], limits: budget.Limits
    ) -> BatchResult:
        """Apply in one write those transitions that are not refused.

        Fails only with the store's failure.  If all transitions are refused,
        nothing is written.
        """
        last_attempt = _LastAttempt()

        def change(value: shards.Shard) -> EditResult:
            outcome = transitions.apply_each(
                value, steps, limits, self._clock.wall_s()
            )
            last_attempt.outcome = outcome
            if outcome.applied:
                return result.Success(outcome.value)
            return result.Failure(
                refusals.NotNeeded(message='all transitions were refused')
            )

        edited = await self._editor.edit(change)
        return _batch_result(edited, last_attempt.outcome)


def _batch_result(
    edited: EditResult, outcome: transitions.Outcome | None
) -> BatchResult:
    all_refused = isinstance(edited, result.Failure) and isinstance(
        edited.failure(), refusals.NotNeeded
    )
    if outcome is None or (
        isinstance(edited, result.Failure) and not all_refused
    ):
        return result.Failure(edited.failure())
    if all_refused:
        return result.Success(outcome)
    return result.Success(dataclasses.replace(outcome, value=edited.unwrap()))
