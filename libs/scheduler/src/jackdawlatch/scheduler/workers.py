"""The state that the leader keeps of each boot of a worker."""

import asyncio
import contextlib
from collections.abc import Callable

from jackdawlatch.jobs import model
from jackdawlatch.scheduler import (
    calls,
    reports,
    runs,
)

# The documented error of a worker's steady clock.
CLOCK_DRIFT = 0.02


class Standing:
    """How a worker has done lately."""

    def __init__(self) -> None:
        self.barred_until_s: float = 0
        self.failures_in_row = 0

    def suspend(self, until_s: float) -> None:
        """Have nothing placed there until then."""
        self.barred_until_s = max(self.barred_until_s, until_s)


class Worker:
    """One boot of a worker, with the runs that may be there."""

    def __init__(self, entry: reports.WorkerEntry) -> None:
        self.entry = entry
        self.listed = True
        self.reachable = False
        self.cordoned = False
        self.looked_s: float = 0
        self.lease_end_s: float = 0
        self.standing = Standing()
        self.runs_by_task: dict[model.TaskId, runs.Run] = {}
        self.free = entry.room
        self.seen = 0
        self._offset_s: float | None = None
        self._unstored: set[int] = set()
        self._all_stored = asyncio.Event()
        self._all_stored.set()

    @property
    def target(self) -> calls.Target:
        """How the worker is called."""
        return calls.Target(self.entry.id, self.entry.address)

    @property
    def usable(self) -> bool:
        """Whether new runs may be placed here."""
        return (
            self.listed
            and self.reachable
            and not self.cordoned
            and not self.entry.draining
        )

    @property
    def acked(self) -> int:
        """The number up to which every end is stored."""
        if self._unstored:
            return min(self._unstored) - 1
        return self.seen

    async def all_stored(self, timeout_s: float) -> None:
        """Return once every end is stored, or after ``timeout_s``."""
        with contextlib.suppress(TimeoutError):
            # wait_for would lose a cancellation that comes with the event.
            async with asyncio.timeout(timeout_s):
                await self._all_stored.wait()

    def clock_s(self, now_s: float) -> float:
        """Return the worker's clock, as far as it is known."""
        return now_s + (self._offset_s or 0)

    def set_clock(self, clock_s: float, now_s: float) -> None:
        """Note a reading of the worker's clock."""
        self._offset_s = clock_s - now_s

    def extend_lease(self, lease_s: float, now_s: float) -> None:
        """Note by when a lease that was just asked for has surely ended."""
        end_s = now_s + lease_s * (1 + CLOCK_DRIFT)
        self.lease_end_s = max(self.lease_end_s, end_s)

    def add(self, run: runs.Run) -> None:
        """Take room for a run."""
        self.runs_by_task[run.task.id] = run
        self.free = self.free.less(run.task.step.held_room)

    def drop(self, run: runs.Run) -> None:
        """Give the room of a run back."""
        if self.runs_by_task.get(run.task.id) is run:
            self.runs_by_task.pop(run.task.id)
            self.free = self.free.plus(run.task.step.held_room)

    def update(self, entry: reports.WorkerEntry) -> None:
        """Take over a newer entry of the same boot."""
        self.entry = entry
        free = entry.room
        for run in self.runs_by_task.values():
            free = free.less(run.task.step.held_room)
        self.free = free

    def await_ack(self, number: int) -> Callable[[], None]:
        """Return what to call once an end may be acknowledged."""
        self.seen = max(self.seen, number)
        self._unstored.add(number)
        self._all_stored.clear()

        def acknowledge() -> None:
            self._unstored.discard(number)
            if not self._unstored:
                self._all_stored.set()

        return acknowledge
