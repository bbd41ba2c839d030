"""What becomes of an operator's edit."""

from typing import ClassVar

from returns import result

from jackdawlatch.config import difference
from jackdawlatch.model import failures, records
from jackdawlatch.store import keyvalue

Difference = difference.Difference


class Applied(records.Record, frozen=True, kw_only=True):
    """The edit is in the store under this version."""

    version: int


class Unchanged(records.Record, frozen=True, kw_only=True):
    """The configuration already was as the edit wants it."""

    version: int


class ConflictingEdit(failures.Problem, frozen=True, kw_only=True):
    """A rival changed what the edit rests on; nothing was written.

    ``difference`` leads from the value that the edit was based on to the
    present one; it is empty when the former is not known.
    """

    code: ClassVar[str] = 'conflicting-edit'

    based_on_version: int
    present_version: int
    difference: Difference = ()

    def line(self) -> str:
        """Return the failure as one line, with what the rival changed."""
        told = super().line()
        if not self.difference:
            return told
        changes = '; '.join(change.line() for change in self.difference)
        return f'{told} changed since: {changes}'


class Refused(failures.Invalid, frozen=True, kw_only=True):
    """The result of the edit would not be valid; nothing was written."""

    code: ClassVar[str] = 'refused'


class OutcomeUnknown(failures.OutcomeUnknown, frozen=True, kw_only=True):
    """The reply was lost and the store is gone: it may be in force."""

    code: ClassVar[str] = 'edit-outcome-unknown'


class NotApplied(failures.Problem, frozen=True, kw_only=True):
    """The store is unavailable; nothing was written."""

    code: ClassVar[str] = 'not-applied'


class NoChange(failures.Problem, frozen=True, kw_only=True):
    """Internal: the edit leaves the present value as it is."""

    code: ClassVar[str] = 'no-change'

    version: int


EditFailure = ConflictingEdit | Refused | OutcomeUnknown | NotApplied
Outcome = result.Result[Applied | Unchanged, EditFailure]


def typed(failure: failures.Problem) -> EditFailure:
    """Return the result that a failed edit has for an operator."""
    if isinstance(failure, ConflictingEdit):
        return failure
    if isinstance(failure, failures.Invalid):
        return Refused(
            message=failure.message,
            hint=failure.hint,
            path=failure.path,
            expected=failure.expected,
        )
    if isinstance(failure, keyvalue.Uncertain):
        return OutcomeUnknown(
            message='the reply was lost and the store cannot be read',
            hint='show the configuration once the store is back',
        )
    return not_applied(failure)


def not_applied(failure: failures.Problem) -> NotApplied:
    """Return that nothing was written, and why."""
    return NotApplied(message=failure.message, hint='try again later')
