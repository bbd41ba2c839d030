"""Exit statuses, and which failure ends in which."""

import enum
import types

from jackdawlatch.model import failures


class ExitStatus(enum.IntEnum):
    """What the exit status tells a script.

    ``CONFLICT``: the present state does not allow it, be it that somebody
    else's edit came first or that a budget is spent; nothing was changed.
    ``UNKNOWN``: the edit may or may not be in force.  ``UNAVAILABLE``:
    nothing was changed, since the store or the daemons can't be reached.
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


def of(problem: failures.Problem) -> ExitStatus:
    """Return the exit status of a failure."""
    return _STATUSES_BY_CODE.get(problem.code, ExitStatus.FAILED)
