"""The state of each boot of a worker."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Callable

from jackdawlatch.jobs import model
from jackdawlatch.scheduler import (
    calls,
    reports,
    runs,
)

# The documented relative error of a worker's monotonic clock.
CLOCK_DRIFT_FRACTION = 0.02


class Health:
    """Recent failures of a worker, and how long it is suspended.

    ``lost_s`` is when it stopped answering, None while it answers.
    ``suspects`` are its runs of tasks that may crash it.
    """

    def __init__(self) -> None:
        self.suspended_until_s: float = 0
        self.consecutive_failures = 0
        self.last_failure_s: float = 0
        self.lost_s: float | None = None
        self.suspects: set[runs.Run] = set()

    def suspend(self, until_s: float) -> None:
        """Place nothing on the worker until ``until_s``."""
        self.suspended_until_s = max(self.suspended_until_s, until_s)


@dataclasses.dataclass(frozen=True, eq=False)
class LeaseRecord:
    """How long a lease may last after this was stored; None once cleared."""

    left_s: float | None
    written_s: float


class Lease:
    """When the lease of a worker ends at the latest, and its record."""

    def __init__(self) -> None:
        self.end_s: float = 0
        self.record: LeaseRecord | None = None


class Worker:
    """One boot of a worker, with the runs that may exist on it."""

    def __init__(self, entry: reports.WorkerEntry) -> None:
        self.entry = entry
        self.registered = True
        self.reachable = False
        self.cordoned = False
        self.last_poll_s: float = 0
        self.lease = Lease()
        self.health = Health()
        self.runs_by_task: dict[model.TaskId, runs.Run] = {}
        self.free = entry.room
        self.last_end_number = 0
        self._clock_offset_s: float | None = None
        self._unstored: set[int] = set()
        self._all_stored = asyncio.Event()
        self._all_stored.set()

    @property
    def target(self) -> calls.Target:
        """The address of this worker for requests."""
        return calls.Target(self.entry.id, self.entry.address)

    @property
    def usable(self) -> bool:
        """Whether new runs may be placed here."""
        closed = self.cordoned or self.entry.draining
        startable = not closed and self.lease.record is None
        return self.registered and self.reachable and startable

    @property
    def acked(self) -> int:
        """The highest number up to which every end is persisted."""
        if self._unstored:
            return min(self._unstored) - 1
        return self.last_end_number

    async def wait_all_stored(self, timeout_s: float) -> None:
        """Wait until every end is persisted, at most ``timeout_s``."""
        with contextlib.suppress(TimeoutError):
            # wait_for would drop a cancellation that arrives with the event.
            async with asyncio.timeout(timeout_s):
                await self._all_stored.wait()

    def clock_s(self, now_s: float) -> float:
        """Convert the local time ``now_s`` to the worker's clock.

        Return ``now_s`` itself until the worker's clock was read.
        """
        return now_s + (self._clock_offset_s or 0)

    def set_clock(self, clock_s: float, now_s: float) -> None:
        """Record a reading of the worker's clock."""
        self._clock_offset_s = clock_s - now_s

    def extend_lease(self, lease_s: float, now_s: float) -> None:
        """Record the latest end of a lease requested at ``now_s``."""
        end_s = now_s + lease_s * (1 + CLOCK_DRIFT_FRACTION)
        self.lease.end_s = max(self.lease.end_s, end_s)

    def add(self, run: runs.Run) -> None:
        """Add a run and reserve its capacity."""
        self.runs_by_task[run.task.id] = run
        self.free = self.free.minus(run.task.step.reserved_room)
        if run.task.suspected:
            self.health.suspects.add(run)

    def drop(self, run: runs.Run) -> None:
        """Remove a run and free its capacity."""
        if self.runs_by_task.get(run.task.id) is run:
            self.runs_by_task.pop(run.task.id)
            self.free = self.free.plus(run.task.step.reserved_room)
            self.health.suspects.discard(run)

    def update(self, entry: reports.WorkerEntry) -> None:
        """Apply a newer entry of the same boot."""
        self.entry = entry
        free = entry.room
        for run in self.runs_by_task.values():
            free = free.minus(run.task.step.reserved_room)
        self.free = free

    def track_end(self, number: int) -> Callable[[], None]:
        """Record a reported end; return a callback for when it is persisted."""
        self.last_end_number = max(self.last_end_number, number)
        self._unstored.add(number)
        self._all_stored.clear()

        def acknowledge() -> None:
            self._unstored.discard(number)
            if not self._unstored:
                self._all_stored.set()

        return acknowledge


def lasting_count(worker: Worker) -> int:
    """Return how many lasting tasks may run on a worker."""
    return sum(run.task.step.lasting for run in worker.runs_by_task.values())
