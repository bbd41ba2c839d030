"""Exit statuses, and the one for each failure code."""

import enum
import types

from jackdawlatch.model import failures


class ExitStatus(enum.IntEnum):
    """The result of a command line, for scripts.

    ``CONFLICT``: the current state does not allow the change, for example
    after an edit by someone else or when a budget is exhausted; nothing was
    changed.  ``UNKNOWN``: the edit may or may not have taken effect.
    ``UNAVAILABLE``: nothing was changed, because the store or the daemons
    can't be reached.
    """

    OK = 0
    FAILED = 1
    USAGE = 2
    CONFLICT = 3
    UNKNOWN = 4
    UNAVAILABLE = 5


_STATUSES_BY_CODE = types.MappingProxyType(
    {
        'settings-invalid': ExitStatus.USAGE,
        'invalid': ExitStatus.USAGE,
        'refused': ExitStatus.USAGE,
        'budget-exceeded': ExitStatus.CONFLICT,
        'zone-busy': ExitStatus.CONFLICT,
        'wrong-phase': ExitStatus.CONFLICT,
        'file-invalid': ExitStatus.USAGE,
        'store-conflict': ExitStatus.CONFLICT,
        'conflicting-edit': ExitStatus.CONFLICT,
        'store-uncertain': ExitStatus.UNKNOWN,
        'edit-outcome-unknown': ExitStatus.UNKNOWN,
        'outcome-unknown': ExitStatus.UNKNOWN,
        'store-unavailable': ExitStatus.UNAVAILABLE,
        'not-applied': ExitStatus.UNAVAILABLE,
        'unreachable': ExitStatus.UNAVAILABLE,
    }
)


def for_problem(problem: failures.Problem) -> ExitStatus:
    """Return the exit status of a failure, ``FAILED`` if it has no other."""
    return _STATUSES_BY_CODE.get(problem.code, ExitStatus.FAILED)
