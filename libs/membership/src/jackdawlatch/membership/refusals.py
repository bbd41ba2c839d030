"""Why a change of membership was refused; nothing was changed."""

from typing import ClassVar

from jackdawlatch.model import failures, hosts


class Refusal(failures.Problem, frozen=True, kw_only=True):
    """A transition that the present value does not allow."""

    code: ClassVar[str] = 'membership-refused'

    host: str = ''
    pool: str = ''


class BudgetExceeded(Refusal, frozen=True, kw_only=True):
    """The pool would have more hosts out of service than its budget."""

    code: ClassVar[str] = 'budget-exceeded'

    unavailable: int
    max_unavailable: int


class Unknown(Refusal, frozen=True, kw_only=True):
    """There is no host, pool or wave of that name."""

    code: ClassVar[str] = 'not-found'


class WrongPhase(Refusal, frozen=True, kw_only=True):
    """The host is not where this step starts from."""

    code: ClassVar[str] = 'wrong-phase'

    phase: hosts.Phase


class NotNeeded(Refusal, frozen=True, kw_only=True):
    """The value already is so, or no longer asks for this step."""

    code: ClassVar[str] = 'not-needed'


class ZoneBusy(Refusal, frozen=True, kw_only=True):
    """Another zone of the pool is under maintenance."""

    code: ClassVar[str] = 'zone-busy'

    zone: str
