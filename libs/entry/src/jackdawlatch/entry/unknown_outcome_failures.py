"""Failures for requests whose outcome is unknown."""

from typing import ClassVar

from jackdawlatch.model import failures


class SentBefore(failures.OutcomeUnknown, frozen=True, kw_only=True):
    """A duplicate may have been sent before, and its answer is lost."""

    code: ClassVar[str] = 'sent-before'


class AnswerNotKept(failures.OutcomeUnknown, frozen=True, kw_only=True):
    """A duplicate was answered, but its answer was not kept.

    Answers over a size limit, and the oldest ones, are dropped.
    """

    code: ClassVar[str] = 'answer-not-kept'


class StillRunning(failures.OutcomeUnknown, frozen=True, kw_only=True):
    """The attempt in flight did not end by this duplicate's deadline."""

    code: ClassVar[str] = 'still-running'


class KeyUnknown(failures.OutcomeUnknown, frozen=True, kw_only=True):
    """A duplicate may have been sent before; the store can't be read."""

    code: ClassVar[str] = 'key-unknown'
