"""What open jobs need, as long as it does not change."""

import dataclasses
import weakref
from collections.abc import Callable

from jackdawlatch.scheduler import tasks


@dataclasses.dataclass(frozen=True)
class _Known:
    """The machines that a job needs, and what that was worked out from."""

    done_count: int
    basis: object
    machines: float


class KnownNeeds:
    """Remembers what jobs need.

    Most open jobs wait unchanged under overload, and all of them are counted
    five times a second.
    """

    def __init__(self) -> None:
        self._by_job: weakref.WeakKeyDictionary[tasks.JobState, _Known] = (
            weakref.WeakKeyDictionary()
        )

    def machines(
        self,
        job: tasks.JobState,
        basis: object,
        count: Callable[[tasks.JobState], float],
    ) -> float:
        """Return what a job needs; count it if a task was done or on a new basis."""
        done_count = sum(state.done_count for state in job.steps)
        known = self._by_job.get(job)
        if known and known.done_count == done_count and known.basis == basis:
            return known.machines
        machines = count(job)
        self._by_job[job] = _Known(done_count, basis, machines)
        return machines
