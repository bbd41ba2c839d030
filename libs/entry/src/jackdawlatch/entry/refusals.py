"""Why a caller's request is not acceptable."""

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
