"""Edits of the configuration by compare-and-swap, with typed results."""

from returns import result

from jackdawlatch.config import difference, edits, outcomes, validation
from jackdawlatch.model import failures, keys, presets
from jackdawlatch.store import editing, keyvalue

Base = presets.Configuration | int | None


class Editor:
    """Reads and edits the configuration in the store."""

    def __init__(
        self,
        store: keyvalue.Store,
        constraints: validation.Constraints = validation.NO_CONSTRAINTS,
    ) -> None:
        self._constraints = constraints
        self._editor = editing.Editor(
            store, keys.CONFIG, presets.Configuration()
        )

    @property
    def last_entry(self) -> keyvalue.Entry | None:
        """Return the store entry that this editor wrote or read last."""
        return self._editor.last_entry

    async def read(
        self,
    ) -> result.Result[presets.Configuration, outcomes.NotApplied]:
        """Return the current configuration; version 0 if there is none."""
        found = await self._editor.read()
        if isinstance(found, result.Failure):
            return result.Failure(outcomes.not_applied(found.failure()))
        return result.Success(found.unwrap())

    async def edit(
        self, edit: edits.Edit, based_on: Base = None
    ) -> outcomes.Outcome:
        """Apply an edit to the current configuration.

        ``based_on`` is the configuration that the operator saw: the edit
        fails with ``ConflictingEdit`` if a field in its scope has changed
        since.  If it is only a version, any change since is a conflict.
        """

        def change(
            current: presets.Configuration,
        ) -> result.Result[presets.Configuration, failures.Problem]:
            return self._checked_change(current, edit, based_on)

        return _outcome(await self._editor.edit(change))

    def _checked_change(
        self,
        current: presets.Configuration,
        edit: edits.Edit,
        based_on: Base,
    ) -> result.Result[presets.Configuration, failures.Problem]:
        edited = edit.apply(current)
        if edited == current:
            return result.Failure(
                outcomes.NoChange(message='no change', version=current.version)
            )
        conflict = _conflict(current, edit, based_on)
        if conflict:
            return result.Failure(conflict)
        checked = validation.check_edit(current, edited, self._constraints)
        if isinstance(checked, result.Failure):
            return checked
        return result.Success(edited)


def _conflict(
    current: presets.Configuration, edit: edits.Edit, based_on: Base
) -> outcomes.ConflictingEdit | None:
    if based_on is None:
        return None
    if isinstance(based_on, int):
        if based_on == current.version:
            return None
        return _conflict_error(based_on, current, ())
    differences = difference.between(based_on, current)
    in_scope = [
        change
        for path in edit.scope
        for change in difference.within(differences, path)
    ]
    if in_scope:
        return _conflict_error(based_on.version, current, differences)
    return None


def _conflict_error(
    based_on_version: int,
    current: presets.Configuration,
    found: difference.Difference,
) -> outcomes.ConflictingEdit:
    return outcomes.ConflictingEdit(
        message=(
            f'based on version {based_on_version}, '
            f'but the current version is {current.version}'
        ),
        hint='read the current configuration and repeat the edit',
        based_on_version=based_on_version,
        present_version=current.version,
        difference=found,
    )


def _outcome(edited: editing.Edited[presets.Configuration]) -> outcomes.Outcome:
    if isinstance(edited, result.Success):
        return result.Success(outcomes.Applied(version=edited.unwrap().version))
    failure = edited.failure()
    if isinstance(failure, outcomes.NoChange):
        return result.Success(outcomes.Unchanged(version=failure.version))
    return result.Failure(outcomes.edit_failure(failure))
