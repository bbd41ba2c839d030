"""Why a caller's request was refused before anything was sent."""

from typing import ClassVar

from jackdawlatch.model import failures


class MalformedHeader(failures.Invalid, frozen=True, kw_only=True):
    """A request header can't be understood; ``path`` names it."""

    code: ClassVar[str] = 'header-malformed'


class UnknownService(failures.Invalid, frozen=True, kw_only=True):
    """No service has this name."""

    code: ClassVar[str] = 'service-unknown'


class UnknownPath(failures.Invalid, frozen=True, kw_only=True):
    """Nothing is served at this path."""

    code: ClassVar[str] = 'path-unknown'


class MethodNotAllowed(failures.Invalid, frozen=True, kw_only=True):
    """The method is not served here."""

    code: ClassVar[str] = 'method-not-allowed'


class BodyTooLarge(failures.Invalid, frozen=True, kw_only=True):
    """The body is over the limit of the settings."""

    code: ClassVar[str] = 'body-too-large'


class BodyNotAllowed(failures.Invalid, frozen=True, kw_only=True):
    """A body was sent with a method that has none."""

    code: ClassVar[str] = 'body-not-allowed'


class MalformedBody(failures.Invalid, frozen=True, kw_only=True):
    """The body can't be understood; ``path`` names the field."""

    code: ClassVar[str] = 'body-malformed'


class DeadlinePassed(failures.Invalid, frozen=True, kw_only=True):
    """The deadline had passed when the request arrived."""

    code: ClassVar[str] = 'deadline-past'


class KeyReused(failures.Invalid, frozen=True, kw_only=True):
    """The idempotency key was used before for a different request."""

    code: ClassVar[str] = 'idempotency-key-reused'


class Stopping(failures.NotRun, frozen=True, kw_only=True):
    """The entry is shutting down and takes no new requests."""

    code: ClassVar[str] = 'entry-stopping'


class Expired(failures.NotRun, frozen=True, kw_only=True):
    """The deadline passed before the request was sent."""

    code: ClassVar[str] = 'deadline-passed'


class NoRunner(failures.NotRun, frozen=True, kw_only=True):
    """The service has no runner that can take work."""

    code: ClassVar[str] = 'no-runner'


class QueueFull(failures.NotRun, frozen=True, kw_only=True):
    """The queue of this kind of work is full."""

    code: ClassVar[str] = 'queue-full'


class IntentNotKept(failures.NotRun, frozen=True, kw_only=True):
    """The intent could not be recorded, so that nothing was sent."""

    code: ClassVar[str] = 'intent-not-kept'


class IntentsFull(failures.NotRun, frozen=True, kw_only=True):
    """No more idempotency keys fit into the store at present."""

    code: ClassVar[str] = 'intents-full'


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
