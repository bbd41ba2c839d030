"""Failures for valid requests that were not sent."""

from typing import ClassVar

from jackdawlatch.model import failures


class Expired(failures.NotRun, frozen=True, kw_only=True):
    """The deadline passed before the request was sent."""

    code: ClassVar[str] = 'deadline-passed'


class NoRunner(failures.NotRun, frozen=True, kw_only=True):
    """The service has no runner that accepts work."""

    code: ClassVar[str] = 'no-runner'


class IntentNotKept(failures.NotRun, frozen=True, kw_only=True):
    """The intent could not be recorded, so the request was not sent."""

    code: ClassVar[str] = 'intent-not-kept'


class IntentsFull(failures.NotRun, frozen=True, kw_only=True):
    """The bucket has no room for another idempotency key at present."""

    code: ClassVar[str] = 'intents-full'
