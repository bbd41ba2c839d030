"""Failures for requests that are not valid."""

from typing import ClassVar

from jackdawlatch.model import failures


class MalformedHeader(failures.Invalid, frozen=True, kw_only=True):
    """A request header is malformed; ``path`` names it."""

    code: ClassVar[str] = 'header-malformed'


class UnknownService(failures.Invalid, frozen=True, kw_only=True):
    """No service has this name."""

    code: ClassVar[str] = 'service-unknown'


class UnknownPath(failures.Invalid, frozen=True, kw_only=True):
    """No resource exists at this path."""

    code: ClassVar[str] = 'path-unknown'


class MethodNotAllowed(failures.Invalid, frozen=True, kw_only=True):
    """The method is not supported at this path."""

    code: ClassVar[str] = 'method-not-allowed'


class BodyTooLarge(failures.Invalid, frozen=True, kw_only=True):
    """The body is larger than ``body_limit_bytes``."""

    code: ClassVar[str] = 'body-too-large'


class BodyNotAllowed(failures.Invalid, frozen=True, kw_only=True):
    """A body was sent with a method that must not have one."""

    code: ClassVar[str] = 'body-not-allowed'


class MalformedBody(failures.Invalid, frozen=True, kw_only=True):
    """The body is malformed; ``path`` names the field."""

    code: ClassVar[str] = 'body-malformed'


class DeadlinePassed(failures.Invalid, frozen=True, kw_only=True):
    """The deadline had passed when the request arrived."""

    code: ClassVar[str] = 'deadline-past'


class KeyReused(failures.Invalid, frozen=True, kw_only=True):
    """The idempotency key was used before for a different request."""

    code: ClassVar[str] = 'idempotency-key-reused'
