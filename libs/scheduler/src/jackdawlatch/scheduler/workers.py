"""The state of each boot of a worker."""

import asyncio
import contextlib
import dataclasses
import enum
import math
import typing
from collections.abc import Callable

from jackdawlatch.jobs import model
from jackdawlatch.policy import worker_pace
from jackdawlatch.scheduler import (
    calls,
    late_starts,
    reports,
    runs,
    team_accounts,
)

if typing.TYPE_CHECKING:
    from jackdawlatch.scheduler import tasks

# Long enough to survive a change of leaders after a lost lease, short enough
# that the tasks of a lost worker are restarted soon.
LEASE_S = 6.0
# The documented relative error of a worker's monotonic clock.
CLOCK_DRIFT_FRACTION = 0.02
# Clocks are reported in whole milliseconds.
CLOCK_ROUNDING_S = 0.005
LATE_REQUEST_S = late_starts.LATE_REQUEST_S

# The id and the birth of a worker.
Boot = tuple[str, int]


class Cordon(enum.Enum):
    """Why a worker gets no tasks: its machine may go down, or to another."""

    MAINTENANCE = 'maintenance'
    MOVE = 'move'


class Health:
    """Recent failures of a worker, and how long it is suspended.

    ``lost_s`` is when it stopped answering, None while it answers.  ``silent``
    tells whether this leader is known to get no answer.  ``suspects`` are its
    runs of tasks that may crash it, ``unwanted`` the tasks of the runs in its
    last answer that are not its own any more and have to be stopped.  ``pace``
    tells whether it is slow.  ``replaced_s`` is when it replaced a boot that
    was lost, minus infinity if no such boot is known.  ``moved`` tells whether its
    machine was moved to another service.
    """

    def __init__(self) -> None:
        self.suspended_until_s: float = 0
        self.consecutive_failures = 0
        self.last_failure_s: float = 0
        self.lost_s: float | None = None
        self.silent = False
        self.suspects: set[runs.Run] = set()
        self.unwanted: list[tasks.Task] = []
        self.pace = worker_pace.WorkerPace()
        self.replaced_s = -math.inf
        self.moved = False

    def suspend(self, until_s: float) -> None:
        """Place nothing on the worker until ``until_s``."""
        self.suspended_until_s = max(self.suspended_until_s, until_s)


@dataclasses.dataclass(frozen=True, eq=False)
class LeaseRecord:
    """When a lease that is not extended ends at the latest.

    ``episode`` identifies the loss of the worker: a record that was cleared
    and written anew says nothing about the lease before.
    """

    episode: str
    end_s: float


class Lease:
    """When the lease of a worker ends at the latest, and its record.

    ``longest_left_s`` is 0 unless requests for an earlier boot may have extended
    it; else it is how long it may last at most.  ``unanswered_end_s_by_run``
    holds when the leases end that unknown boots may have given to runs.
    """

    def __init__(self) -> None:
        self.end_s: float = 0
        self.record: LeaseRecord | None = None
        self.longest_left_s: float = 0
        self._late_expected = False
        self.unanswered_end_s_by_run: dict[runs.Run, float] = {}

    def extend(self, lease_s: float, now_s: float) -> None:
        """Record the latest end of a lease requested at ``now_s``."""
        self.end_s = max(self.end_s, lease_end_s(lease_s, now_s))

    def expect_late_requests(self, longest_s: float, now_s: float) -> None:
        """Count the leases that requests for an earlier boot may still give.

        Their deadlines are times on another clock, so each may give the longest.
        """
        self._late_expected = True
        self.longest_left_s = lease_end_s(longest_s, LATE_REQUEST_S)
        self.extend(longest_s, now_s + LATE_REQUEST_S)

    def expect_unknown_boot(
        self, run: runs.Run, longest_s: float, now_s: float
    ) -> None:
        """Count the lease that an unknown boot may have given a run.

        Its start got no answer until ``now_s``.  A later boot that carried it out
        took its deadline for one on its own clock, which gives the longest lease.
        """
        end_s = lease_end_s(longest_s, now_s)
        self.unanswered_end_s_by_run[run] = end_s

    def run_end_s(self, run: runs.Run) -> float:
        """Return when the lease of a run ends at the latest."""
        unanswered_end_s = self.unanswered_end_s_by_run.get(run, self.end_s)
        return max(self.end_s, unanswered_end_s)

    def forget(self, run: runs.Run) -> None:
        """Forget an unanswered start, since an answer has shown its effect."""
        self.unanswered_end_s_by_run.pop(run, None)

    def record_answer(self, longest_s: float, now_s: float) -> None:
        """Expect no late requests any more, since the boot has answered.

        ``longest_s`` is the longest lease that one may have given before.
        """
        if self._late_expected:
            self._late_expected = False
            self.end_s = min(self.end_s, lease_end_s(longest_s, now_s))


class Worker:
    """One boot of a worker, with the runs that may exist on it."""

    def __init__(self, entry: reports.WorkerEntry) -> None:
        self.entry = entry
        self.registered = True
        self.reachable = False
        self.cordons: set[Cordon] = set()
        self.last_poll_s: float = 0
        self.lease = Lease()
        self.health = Health()
        self.runs_by_task: dict[model.TaskId, runs.Run] = {}
        self.free = entry.room
        self.last_end_number = 0
        self._clock_offset_s: float | None = None
        self._clock_read_s: float = 0
        self._confirmed_ack = 0
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
        closed = self.cordons or self.entry.draining
        startable = not closed and self.lease.record is None
        return self.registered and self.reachable and startable

    @property
    def acked(self) -> int:
        """The highest number up to which every end is persisted.

        0 if the worker has confirmed that: a later boot would take an
        acknowledgement for one of its own ends.
        """
        number = self.last_end_number
        if self._unstored:
            number = min(self._unstored) - 1
        return number if number > self._confirmed_ack else 0

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

    def record_answer(self, clock_s: float, acked: int, now_s: float) -> None:
        """Record a reading of its clock, and what it has acknowledged."""
        self._clock_offset_s = clock_s - now_s
        self._clock_read_s = now_s
        self._confirmed_ack = max(self._confirmed_ack, acked)

    def is_its_clock(self, clock_s: float, sent_s: float) -> bool:
        """Whether a clock reading in an answer may be of this boot.

        ``sent_s`` is when the request was sent.  Clocks begin with their boot,
        so the one of a later boot is behind.
        """
        drift_s = CLOCK_DRIFT_FRACTION * (sent_s - self._clock_read_s)
        return clock_s >= self.clock_s(sent_s) - drift_s - CLOCK_ROUNDING_S

    def add(self, run: runs.Run) -> None:
        """Add a run and reserve its capacity."""
        self.runs_by_task[run.task.id] = run
        self.free = self.free.minus(run.task.step.reserved_room)
        _account(run).add(run.task.step.room)
        if run.task.suspected:
            self.health.suspects.add(run)

    def drop(self, run: runs.Run) -> None:
        """Remove a run and free its capacity."""
        if self.runs_by_task.get(run.task.id) is run:
            self.runs_by_task.pop(run.task.id)
            self.free = self.free.plus(run.task.step.reserved_room)
            _account(run).remove(run.task.step.room)
            self.health.suspects.discard(run)
            run.task.state.unwanted_runs.discard(run)
            self.lease.forget(run)

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


def _account(run: runs.Run) -> team_accounts.Account:
    """Return the account of the team whose job a run belongs to."""
    job = run.task.job
    return job.claim.account


def lease_end_s(lease_s: float, now_s: float) -> float:
    """Return when a lease ends at the latest that is requested at ``now_s``."""
    return now_s + lease_s * (1 + CLOCK_DRIFT_FRACTION)


def granted_lease_s(longest_s: float) -> float:
    """Return the lease that leaders grant where workers accept ``longest_s``."""
    return min(LEASE_S, longest_s)


def inherited_lease_s(worker: Worker) -> float:
    """Return how long a lease from requests for an earlier boot may last.

    It counts from the last answer at the earliest, and is 0 if there is none.
    """
    left_s = worker.lease.end_s - worker.last_poll_s
    return min(left_s, worker.lease.longest_left_s)


def lasting_count(worker: Worker) -> int:
    """Return how many lasting tasks may run on a worker."""
    return sum(run.task.step.lasting for run in worker.runs_by_task.values())
