"""Why the outcome of a request is not known."""

from typing import ClassVar

from jackdawlatch.model import failures


class SentBefore(failures.OutcomeUnknown, frozen=True, kw_only=True):
    """A copy of the request may have been sent, and its answer is lost."""

    code: ClassVar[str] = 'sent-before'


class AnswerNotKept(failures.OutcomeUnknown, frozen=True, kw_only=True):
    """A copy of the request was run, and its answer was too large to keep."""

    code: ClassVar[str] = 'answer-not-kept'


class StillRunning(failures.OutcomeUnknown, frozen=True, kw_only=True):
    """A copy of the request is in flight beyond this one's deadline."""

    code: ClassVar[str] = 'still-running'


class KeyUnknown(failures.OutcomeUnknown, frozen=True, kw_only=True):
    """Whether a copy was sent before can't be told while the store is away."""

    code: ClassVar[str] = 'key-unknown'
