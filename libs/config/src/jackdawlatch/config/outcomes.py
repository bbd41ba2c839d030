"""The outcomes of an operator's edit of the configuration."""

from typing import ClassVar

from returns import result

from jackdawlatch.config import difference
from jackdawlatch.model import failures, records
from jackdawlatch.store import keyvalue

Difference = difference.Difference


class Applied(records.Record, frozen=True, kw_only=True):
    """The edit was written as this version."""

    version: int


class Unchanged(records.Record, frozen=True, kw_only=True):
    """The edit would change nothing; this is the current version."""

    version: int


class ConflictingEdit(failures.Problem, frozen=True, kw_only=True):
    """A concurrent edit changed a field in scope; nothing was written.

    ``difference`` leads from the configuration that the edit was based on to
    the current one; it is empty if only the former's version is known.
    """

    code: ClassVar[str] = 'conflicting-edit'

    based_on_version: int
    present_version: int
    difference: Difference = ()

    def line(self) -> str:
        """Return the failure as one line, with the concurrent changes."""
        summary = super().line()
        if not self.difference:
            return summary
        changes = '; '.join(change.line() for change in self.difference)
        return f'{summary}; changed since: {changes}'


class Refused(failures.Invalid, frozen=True, kw_only=True):
    """The edited configuration is not valid; nothing was written."""

    code: ClassVar[str] = 'refused'


class OutcomeUnknown(failures.OutcomeUnknown, frozen=True, kw_only=True):
    """The reply was lost and the store is down: the edit may be in force."""

    code: ClassVar[str] = 'edit-outcome-unknown'


class NotApplied(failures.Problem, frozen=True, kw_only=True):
    """The store is unavailable; nothing was written."""

    code: ClassVar[str] = 'not-applied'


class NoChange(failures.Problem, frozen=True, kw_only=True):
    """The edit changes nothing; reported to operators as ``Unchanged``."""

    code: ClassVar[str] = 'no-change'

    version: int


EditFailure = ConflictingEdit | Refused | OutcomeUnknown | NotApplied
Outcome = result.Result[Applied | Unchanged, EditFailure]


def edit_failure(failure: failures.Problem) -> EditFailure:
    """Convert the failure of an edit to one that is reported to operators."""
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
            hint='check the configuration when the store is available again',
        )
    return not_applied(failure)


def not_applied(failure: failures.Problem) -> NotApplied:
    """Return a failure to reach the store as ``NotApplied``."""
    return NotApplied(message=failure.message, hint='try again later')
