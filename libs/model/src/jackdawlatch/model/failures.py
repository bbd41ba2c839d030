"""Base classes of all typed failures.

A failure is returned in a ``returns.result.Failure``, never raised.  Its
``code`` is stable and part of the HTTP interface; ``message`` is for people.
"""

from typing import ClassVar

from jackdawlatch.model import records


class Problem(records.Record, frozen=True, kw_only=True):
    """A failure with a code for programs and a message for people."""

    code: ClassVar[str] = 'failure'

    message: str
    hint: str = ''

    def line(self) -> str:
        """Return the failure as one line of text with its hint."""
        if self.hint:
            return f'{self.code}: {self.message} (hint: {self.hint})'
        return f'{self.code}: {self.message}'


class NotRun(Problem, frozen=True, kw_only=True):
    """The request did not reach any target: it is safe to send it again.

    ``retry_after_s`` is when, in seconds; 0 gives no advice.
    """

    code: ClassVar[str] = 'not-run'

    retry_after_s: float = 0


class OutcomeUnknown(Problem, frozen=True, kw_only=True):
    """The request may or may not have been run."""

    code: ClassVar[str] = 'outcome-unknown'


class Invalid(Problem, frozen=True, kw_only=True):
    """A value given by a person or a caller is not valid.

    ``path`` names the field and ``expected`` describes a valid value.
    """

    code: ClassVar[str] = 'invalid'

    path: str = ''
    expected: str = ''
