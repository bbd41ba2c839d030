"""Changes of a shard's stored value by compare-and-swap."""

import dataclasses
from collections.abc import Sequence

from returns import result

from jackdawlatch.membership import budget, refusals, shards, transitions
from jackdawlatch.model import clocks, failures, records
from jackdawlatch.store import editing, keyvalue

Edited = result.Result[shards.Shard, failures.Problem]
Made = result.Result[transitions.Outcome, failures.Problem]


@dataclasses.dataclass
class _Latest:
    """The outcome of the run of a change that decided."""

    outcome: transitions.Outcome | None = None


class Editor:
    """Makes transitions on the value that is present in the store."""

    def __init__(
        self, store: keyvalue.Store, shard: str, clock: clocks.Clock
    ) -> None:
        self._clock = clock
        self._editor = editing.Editor(store, shards.key(shard), shards.Shard())
        self._decoded = shards.Shard()
        self._decoded_revision = 0

    async def read(self) -> Edited:
        """Return the present value."""
        return await self._editor.read()

    async def present(self, newest_revision: int) -> Edited:
        """Return the value at that revision of the store, or a later one.

        It is read only if this editor has not seen as much yet.
        """
        known = self._editor.known
        if known is None or known.revision < newest_revision:
            return await self.read()
        if known.revision != self._decoded_revision:
            self._decoded = records.decode(known.value, shards.Shard)
            self._decoded_revision = known.revision
        return result.Success(self._decoded)

    async def make_all(
        self, steps: Sequence[transitions.Transition], limits: budget.Limits
    ) -> Edited:
        """Make every transition in one write, or none.

        Fails with the first ``refusals.Refusal``, or as the store does.
        """

        def change(value: shards.Shard) -> Edited:
            return transitions.make_all(
                value, steps, limits, self._clock.wall_s()
            )

        return await self._editor.edit(change)

    async def make_each(
        self, steps: Sequence[transitions.Transition], limits: budget.Limits
    ) -> Made:
        """Make those transitions in one write that the value allows.

        Fails only as the store does; without anything to make, nothing is
        written.
        """
        latest = _Latest()

        def change(value: shards.Shard) -> Edited:
            outcome = transitions.make_each(
                value, steps, limits, self._clock.wall_s()
            )
            latest.outcome = outcome
            if outcome.made:
                return result.Success(outcome.value)
            return result.Failure(refusals.NotNeeded(message='all refused'))

        edited = await self._editor.edit(change)
        return _made(edited, latest.outcome)


def _made(edited: Edited, outcome: transitions.Outcome | None) -> Made:
    nothing = isinstance(edited, result.Failure) and isinstance(
        edited.failure(), refusals.NotNeeded
    )
    if outcome is None or (isinstance(edited, result.Failure) and not nothing):
        return result.Failure(edited.failure())
    if nothing:
        return result.Success(outcome)
    return result.Success(dataclasses.replace(outcome, value=edited.unwrap()))
