"""Reasons why a transition was refused; the value is then unchanged."""

from typing import ClassVar

from jackdawlatch.model import failures, hosts


class Refusal(failures.Problem, frozen=True, kw_only=True):
    """A transition that the current value does not allow."""

    code: ClassVar[str] = 'membership-refused'

    host: str = ''
    pool: str = ''


class BudgetExceeded(Refusal, frozen=True, kw_only=True):
    """The pool would have more unavailable hosts than its budget allows."""

    code: ClassVar[str] = 'budget-exceeded'

    unavailable: int
    max_unavailable: int


class Unknown(Refusal, frozen=True, kw_only=True):
    """There is no host, pool or wave with that id."""

    code: ClassVar[str] = 'not-found'


class WrongPhase(Refusal, frozen=True, kw_only=True):
    """The host is not in a phase from which the transition can start."""

    code: ClassVar[str] = 'wrong-phase'

    phase: hosts.Phase


class NotNeeded(Refusal, frozen=True, kw_only=True):
    """The transition has been made already, or is no longer needed."""

    code: ClassVar[str] = 'not-needed'


class ZoneBusy(Refusal, frozen=True, kw_only=True):
    """Another zone of the pool is under maintenance."""

    code: ClassVar[str] = 'zone-busy'

    zone: str
