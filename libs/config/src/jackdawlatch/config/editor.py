"""Edits of the configuration by compare-and-swap, with typed results."""

from returns import result

from jackdawlatch.config import difference, edits, outcomes, validation
from jackdawlatch.model import failures, keys, presets
from jackdawlatch.store import editing, keyvalue

Base = presets.Configuration | int | None


class Editor:
    """Reads and edits the configuration that is kept in the store."""

    def __init__(
        self,
        store: keyvalue.Store,
        known: validation.Known = validation.NOTHING_KNOWN,
    ) -> None:
        self._known = known
        self._editor = editing.Editor(
            store, keys.CONFIG, presets.Configuration()
        )

    @property
    def accepted(self) -> keyvalue.Entry | None:
        """Return the entry that was last written or read here."""
        return self._editor.known

    async def read(
        self,
    ) -> result.Result[presets.Configuration, outcomes.NotApplied]:
        """Return the present configuration; version 0 when there is none."""
        found = await self._editor.read()
        if isinstance(found, result.Failure):
            return result.Failure(outcomes.not_applied(found.failure()))
        return result.Success(found.unwrap())

    async def edit(
        self, edit: edits.Edit, based_on: Base = None
    ) -> outcomes.Outcome:
        """Make an edit, once, on the present value.

        ``based_on`` is the value that the operator saw: a rival's change
        within the edit's scope since then is a conflict.  With only the
        version of that value, any change since then is one.
        """

        def change(
            present: presets.Configuration,
        ) -> result.Result[presets.Configuration, failures.Problem]:
            return self._changed(present, edit, based_on)

        return _outcome(await self._editor.edit(change))

    def _changed(
        self,
        present: presets.Configuration,
        edit: edits.Edit,
        based_on: Base,
    ) -> result.Result[presets.Configuration, failures.Problem]:
        wanted = edit.apply(present)
        if wanted == present:
            return result.Failure(
                outcomes.NoChange(message='no change', version=present.version)
            )
        conflict = _conflict(present, edit, based_on)
        if conflict:
            return result.Failure(conflict)
        checked = validation.check_edit(present, wanted, self._known)
        if isinstance(checked, result.Failure):
            return checked
        return result.Success(wanted)


def _conflict(
    present: presets.Configuration, edit: edits.Edit, based_on: Base
) -> outcomes.ConflictingEdit | None:
    if based_on is None:
        return None
    if isinstance(based_on, int):
        if based_on == present.version:
            return None
        return _conflicting(based_on, present, ())
    whole = difference.between(based_on, present)
    relevant = [
        change
        for path in edit.scope
        for change in difference.within(whole, path)
    ]
    if relevant:
        return _conflicting(based_on.version, present, whole)
    return None


def _conflicting(
    based_on_version: int,
    present: presets.Configuration,
    found: difference.Difference,
) -> outcomes.ConflictingEdit:
    return outcomes.ConflictingEdit(
        message=(
            f'based on version {based_on_version}, '
            f'but version {present.version} is present'
        ),
        hint='read the present value and make the edit again',
        based_on_version=based_on_version,
        present_version=present.version,
        difference=found,
    )


def _outcome(edited: editing.Edited[presets.Configuration]) -> outcomes.Outcome:
    if isinstance(edited, result.Success):
        return result.Success(outcomes.Applied(version=edited.unwrap().version))
    failure = edited.failure()
    if isinstance(failure, outcomes.NoChange):
        return result.Success(outcomes.Unchanged(version=failure.version))
    return result.Failure(outcomes.typed(failure))
