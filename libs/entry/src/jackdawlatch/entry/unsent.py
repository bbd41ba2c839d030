"""Why an acceptable request was not sent."""

from typing import ClassVar

from jackdawlatch.model import failures


class Expired(failures.NotRun, frozen=True, kw_only=True):
    """The deadline passed before the request was sent."""

    code: ClassVar[str] = 'deadline-passed'


class NoRunner(failures.NotRun, frozen=True, kw_only=True):
    """The service has no runner that can take work."""

    code: ClassVar[str] = 'no-runner'


class IntentNotKept(failures.NotRun, frozen=True, kw_only=True):
    """The intent could not be recorded, so that nothing was sent."""

    code: ClassVar[str] = 'intent-not-kept'


class IntentsFull(failures.NotRun, frozen=True, kw_only=True):
    """No more idempotency keys fit into the store at present."""

    code: ClassVar[str] = 'intents-full'
