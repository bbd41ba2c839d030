"""How long work that arrives now waits behind the backlog of its service.

Load pattern: two bursts at once beyond the fleet, and demand by turns at five
times the mean, where a service gets machines of the others in its turn.

The forecast is a lower bound, since a job is refused by it: jobs that arrive
later, room lost between tasks of different sizes and memory are left out, and a
service gets at least its share of the fleet.
"""

import collections
import dataclasses
import itertools
import math
from collections.abc import Iterable, Iterator, Sequence
from typing import NamedTuple

# Machines that move to a service are up after this time.
MOVE_S = 1.5
# The times at which the forecast compares work and capacity: from 0.5 to 85 s.
FIRST_S = 0.5
STEP_RATIO = 1.25
TIMES_S = tuple(FIRST_S * STEP_RATIO**number for number in range(24))
# No job is refused for a shorter wait.
MIN_WAIT_S = 1.0
# Sizes of jobs are distinguished by factors of two, 1/16 to 4,096 core-s.
MIN_SIZE_CLASS = -4
MAX_SIZE_CLASS = 12


class OpenJob(NamedTuple):
    """The waiting work of a job, in core-seconds.

    ``ready_core_s`` could start now on ``ready_cores``; ``blocked_core_s`` waits
    for it, and is done after ``chain_s`` at the earliest.  A start within
    ``in_time_s`` meets the objective, one after ``useful_s`` is of no use to
    the caller any more.
    """

    priority: int
    ready_core_s: float
    ready_cores: float
    blocked_core_s: float
    chain_s: float
    in_time_s: float
    useful_s: float

    @property
    def size_class(self) -> int:
        """The size class of its work."""
        core_s = self.ready_core_s + self.blocked_core_s
        if core_s <= 0:
            return MIN_SIZE_CLASS
        size_class = math.floor(math.log2(core_s))
        return min(MAX_SIZE_CLASS, max(MIN_SIZE_CLASS, size_class))


class Level(NamedTuple):
    """How long new work waits, in seconds.

    It holds for jobs of a priority with at least ``min_core_s`` of work, and
    for all that go behind them.  ``late_wait_s`` holds for a job that is not
    started in time, and therefore goes behind all that can be.
    """

    priority: int
    min_core_s: float
    wait_s: float
    late_wait_s: float


@dataclasses.dataclass(frozen=True)
class Capacity:
    """The cores of a service from now on.

    ``arriving`` cores are up after the time of a move, and ``lent`` ones,
    which serve other services first, from ``lent_s`` on.
    """

    present: float
    arriving: float = 0
    lent: float = 0
    lent_s: float = 0

    def core_s(self, elapsed_s: float) -> float:
        """Return the core-seconds until ``elapsed_s`` from now."""
        arriving_s = max(0, elapsed_s - MOVE_S)
        lent_s = max(0, elapsed_s - self.lent_s)
        return (
            self.present * elapsed_s
            + self.arriving * arriving_s
            + self.lent * lent_s
        )


@dataclasses.dataclass(frozen=True)
class Share:
    """The cores that a service has, could use and that all services have."""

    present: float
    expected: float
    total: float


def capacity(share: Share, others_core_s: float) -> Capacity:
    """Return the capacity of a service, by its share of the fleet.

    The rest of the fleet becomes free once the open work of the other services,
    ``others_core_s``, is done.
    """
    arriving = max(0, share.expected - share.present)
    lent = max(0, share.total - share.present - arriving)
    others_s = others_core_s / lent if lent else 0
    return Capacity(share.present, arriving, lent, others_s + MOVE_S)


class Backlog:
    """The open work of one service; ``core_s`` is all of it."""

    def __init__(self) -> None:
        self.core_s: float = 0
        self._running_cores: dict[int, float] = collections.defaultdict(float)
        self._in_time: _Timelines = collections.defaultdict(_Timeline)
        self._useful: _Timelines = collections.defaultdict(_Timeline)

    def add_running(self, cores: float, duration_s: float) -> None:
        """Add tasks in progress, which keep their cores until they end.

        Half of their time is taken as over: they end one after the other.
        """
        if duration_s > 0:
            self._running_cores[_position(duration_s)] += cores
            self.core_s += cores * duration_s / 2

    def add(self, job: OpenJob) -> None:
        """Add a job that delays others, unless it is of no use any more."""
        if job.useful_s <= 0:
            return
        key = (job.priority, job.size_class)
        for timelines, until_s in (
            (self._in_time, job.in_time_s),
            (self._useful, job.useful_s),
        ):
            timelines[key].add(job, until_s)
        self.core_s += job.ready_core_s + job.blocked_core_s

    def levels(self, expected: Capacity) -> tuple[Level, ...]:
        """Return the levels at which work waits, empty without overload.

        Work of a lower priority goes first.  Of the same priority, any job in
        time may go first, and of the late ones the smaller.
        """
        available = [
            expected.core_s(elapsed_s) - self._held_core_s(elapsed_s)
            for elapsed_s in TIMES_S
        ]
        return tuple(_without_repeats(self._levels(available)))

    def _levels(self, available: Sequence[float]) -> Iterator[Level]:
        in_time, useful = _Timeline(), _Timeline()
        for priority in sorted({key[0] for key in self._useful}):
            wait_s = in_time.drained_s(available)
            keys = [key for key in self._useful if key[0] == priority]
            for key in sorted(keys):
                in_time.add_all(self._in_time[key])
                useful.add_all(self._useful[key])
                yield Level(
                    priority,
                    math.ldexp(1, key[1] + 1),
                    wait_s,
                    useful.drained_s(available),
                )
            yield Level(
                priority + 1,
                0,
                in_time.drained_s(available),
                useful.drained_s(available),
            )

    def _held_core_s(self, elapsed_s: float) -> float:
        """Return the core-seconds that running tasks use until a time."""
        held_core_s: float = 0
        for position, cores in self._running_cores.items():
            duration_s = TIMES_S[max(0, position - 1)]
            held_s = min(elapsed_s, duration_s)
            held_core_s += cores * held_s * (1 - held_s / duration_s / 2)
        return held_core_s


class _Timeline:
    """Core-seconds that new work may wait for, until each of ``TIMES_S``.

    Kept as differences of a sum and of its rise by the second, so that adding a
    job takes the same time whatever its duration.
    """

    def __init__(self) -> None:
        self._sums: list[float] = [0 for _ in range(len(TIMES_S) + 1)]
        self._rises: list[float] = self._sums.copy()

    def add(self, job: OpenJob, until_s: float) -> None:
        """Add the work of a job that goes ahead until ``until_s``."""
        if until_s <= 0:
            return
        end = _position(until_s)
        if job.ready_cores > 0:
            done = min(end, _position(job.ready_core_s / job.ready_cores))
            self._rises[0] += job.ready_cores
            self._rises[done] -= job.ready_cores
            self._sums[done] += job.ready_core_s
            self._sums[end] -= job.ready_core_s
        if job.blocked_core_s > 0:
            done = min(end, _position(job.chain_s))
            self._sums[done] += job.blocked_core_s
            self._sums[end] -= job.blocked_core_s

    def add_all(self, other: '_Timeline') -> None:
        """Add the work of another timeline."""
        self._sums = _added(self._sums, other._sums)
        self._rises = _added(self._rises, other._rises)

    def drained_s(self, available: Sequence[float]) -> float:
        """Return until when all capacity goes to work ahead, 0 if it does not.

        ``available`` is the core-seconds until each of ``TIMES_S``.
        """
        busy_s: float = 0
        for elapsed_s, core_s, cores, free_core_s in zip(
            TIMES_S,
            itertools.accumulate(self._sums),
            itertools.accumulate(self._rises),
            available,
            strict=False,
        ):
            if core_s + cores * elapsed_s <= free_core_s:
                break
            busy_s = elapsed_s
        return busy_s


_Timelines = dict[tuple[int, int], _Timeline]


def _added(ours: Sequence[float], others: Sequence[float]) -> list[float]:
    return [one + other for one, other in zip(ours, others, strict=True)]


def _position(elapsed_s: float) -> int:
    """Return the position of the first of ``TIMES_S`` from a time on."""
    if elapsed_s <= FIRST_S:
        return 0
    position = math.ceil(math.log(elapsed_s / FIRST_S, STEP_RATIO))
    return min(len(TIMES_S), position)


def _without_repeats(levels: Iterable[Level]) -> Iterable[Level]:
    """Leave out the levels with the waits of the one before, and short ones."""
    waits_s = (MIN_WAIT_S, MIN_WAIT_S)
    for level in levels:
        if level.late_wait_s > MIN_WAIT_S:
            if waits_s != (level.wait_s, level.late_wait_s):
                yield level
            waits_s = (level.wait_s, level.late_wait_s)
