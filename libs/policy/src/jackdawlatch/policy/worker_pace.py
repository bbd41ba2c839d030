"""Which workers are slow, by the progress of their tasks.

Load pattern: workers on which all tasks take 4 to 7 times as long for 6 to 8 s,
beside a few tasks that take seven times the mean of their step on any worker.
A run is compared with the tasks of its step on other workers, since estimates
are rough while the tasks of a step are alike.  A worker is slow only if almost
all of the tasks that it was just seen to run are.
"""

import dataclasses
import math
from collections.abc import Hashable

PERCENTS = 100
# Between the noise of short runs and the least slowdown of a slow worker.
SLOWDOWN = 2.5
# A worker recovers within seconds.  It is polled at least every 2 s, and what
# one poll shows counts until the next.
VALID_S = 2.5
# What older progress shows may no longer be so.
RECENT_S = 1.2
# Longer than a worker is slow: a run that stays slow shows nothing after that.
MAX_SLOW_S = 8.0
# With long tasks about a sixth of the running ones are of the long tail, so
# that two of them beside each other are common, and three are rare.
MIN_SLOW_TASKS = 2
MIN_SCORE = 3
NORMAL_SCORE = 2
# Progress is rounded to whole percents, and answers to polls are delayed.
MIN_INTERVAL_S = 0.3
INTERVAL_PERCENTS = 3
# Progress after which the pace of a step, or of a run, is known.
MIN_PERCENTS = 10
BUCKETS_PER_DOUBLING = 4
# Most tasks of a step may have been placed on one worker.  The tasks are alike,
# so that a quarter of them is enough to know how long one should take.
EXPECTED_QUANTILE = 0.25
REFRESH_GROWTH = 1.2
SHORTEST_S = 1e-6


@dataclasses.dataclass(frozen=True)
class Progress:
    """Progress of a run during an interval."""

    percents: int
    elapsed_s: float

    @property
    def percent_s(self) -> float:
        """The time that one percent took, infinite without progress."""
        return self.elapsed_s / self.percents if self.percents else math.inf

    def is_slow(self, expected_s: float) -> bool | None:
        """Whether it is slow, if a percent should take ``expected_s``.

        None if that depends on how the percent was rounded.
        """
        limit_s = SLOWDOWN * expected_s
        if self.elapsed_s >= limit_s * (self.percents + 1):
            return True
        return False if self.elapsed_s < limit_s * self.percents else None


class StepPaces:
    """How long a percent takes on most workers of a step.

    Each run weighs as much as it has progressed, so that slow runs, which are
    seen more often until they end, do not weigh more.  ``expected_s`` is the
    usual time, 0 unless several workers show it.
    """

    __slots__ = (
        'expected_s',
        '_next_percents',
        '_percents',
        '_percents_by_bucket',
        '_workers',
    )

    def __init__(self) -> None:
        self.expected_s: float = 0
        self._percents = 0
        # Each report of a run asks for the usual time, which changes little.
        self._next_percents: float = MIN_PERCENTS
        self._percents_by_bucket: dict[int, int] = {}
        # Not more than two.
        self._workers: tuple[object, ...] = ()

    def add(self, worker: object, progress: Progress) -> None:
        """Add progress of a run on a worker."""
        if progress.percents < INTERVAL_PERCENTS:
            return
        doublings = math.log2(max(progress.percent_s, SHORTEST_S))
        bucket = round(doublings * BUCKETS_PER_DOUBLING)
        known = self._percents_by_bucket.get(bucket, 0)
        self._percents_by_bucket[bucket] = known + progress.percents
        self._percents += progress.percents
        if len(self._workers) < 2 and worker not in self._workers:
            self._workers = (*self._workers, worker)
        if len(self._workers) > 1 and self._percents >= self._next_percents:
            self._next_percents = self._percents * REFRESH_GROWTH
            self.expected_s = self._usual_s()

    def _usual_s(self) -> float:
        needed = self._percents * EXPECTED_QUANTILE
        for bucket in sorted(self._percents_by_bucket):
            needed -= self._percents_by_bucket[bucket]
            if needed <= 0:
                return math.exp2(bucket / BUCKETS_PER_DOUBLING)
        return 0


class _Track:
    """What is known of one run.

    ``slow`` is the last judgement, made at ``judged_s``; None if there is none.
    ``slow_since_s`` is the first of several that it is slow.  ``turned`` is
    whether it became slow after its start, which a task of the long tail does
    not.
    """

    __slots__ = (
        'best_s',
        'first_percent',
        'first_s',
        'judged_s',
        'percent',
        'reported_s',
        'since_s',
        'slow',
        'slow_since_s',
        'turned',
    )

    def __init__(self, percent: int, now_s: float) -> None:
        self.first_percent = percent
        self.first_s = now_s
        self.percent = percent
        self.since_s = now_s
        self.reported_s = now_s
        # The least time for a percent, from the first report to any later one.
        self.best_s: float = 0
        self.slow: bool | None = None
        self.slow_since_s: float = 0
        self.turned = False
        self.judged_s = now_s

    def is_recent(self, now_s: float) -> bool:
        """Whether the judgement shows how the worker is now."""
        if self.slow is None or now_s - self.judged_s >= RECENT_S:
            return False
        return not self.slow or now_s - self.slow_since_s < MAX_SLOW_S

    def end(self, step: StepPaces, now_s: float) -> Progress:
        """Return the progress of a last interval, which may have ended before.

        So it can show that the run was not slow, and never that it was.
        """
        progress = Progress(PERCENTS - self.percent, now_s - self.since_s)
        expected_s = step.expected_s
        if expected_s and progress.is_slow(expected_s) is False:
            self._set(slow=False, turned=False, now_s=now_s)
        return progress

    def judge(
        self, percent: int, step: StepPaces, now_s: float
    ) -> Progress | None:
        """Judge the current interval; return it once it has ended."""
        progress = Progress(
            max(0, percent - self.percent), now_s - self.since_s
        )
        expected_s = step.expected_s
        # Without siblings on other workers only a turn shows anything.
        slow = progress.is_slow(expected_s) if expected_s else None
        turned = bool(self.best_s and progress.is_slow(self.best_s))
        if turned or slow is not None:
            self._set(turned or bool(slow), turned, now_s)
        if not (slow or turned or self._is_over(progress, expected_s)):
            return None
        whole = Progress(percent - self.first_percent, now_s - self.first_s)
        if whole.percents >= MIN_PERCENTS:
            self.best_s = min(self.best_s or math.inf, whole.percent_s)
        self.percent, self.since_s = percent, now_s
        return progress

    def _is_over(self, progress: Progress, expected_s: float) -> bool:
        """Whether an interval shows the pace of a run that is not slow."""
        if progress.percents < INTERVAL_PERCENTS:
            return False
        return not expected_s or progress.is_slow(expected_s) is False

    def _set(self, slow: bool, turned: bool, now_s: float) -> None:
        if slow and not self.slow:
            self.slow_since_s = now_s
        self.slow, self.turned, self.judged_s = slow, turned, now_s


class WorkerPace:
    """Whether one worker is slow, by the runs that it reports.

    ``slow`` is the last judgement; ``is_slow`` holds for a short time only.
    """

    def __init__(self) -> None:
        self.slow = False
        # Identifies the worker to the steps, which may outlast it.
        self._identity = object()
        self._tracks_by_run: dict[Hashable, _Track] = {}
        self._slow_until_s = -math.inf

    def is_slow(self, now_s: float) -> bool:
        """Whether the worker was slow when it was last judged, just now."""
        return now_s < self._slow_until_s

    def report(
        self, run: Hashable, percent: int, step: StepPaces, now_s: float
    ) -> None:
        """Record how far a run is; the first report begins an interval."""
        track = self._tracks_by_run.get(run)
        if track is None:
            self._tracks_by_run[run] = _Track(percent, now_s)
            return
        track.reported_s = now_s
        if now_s - track.since_s >= MIN_INTERVAL_S:
            progress = track.judge(percent, step, now_s)
            if progress is not None:
                step.add(self._identity, progress)

    def end(
        self,
        run: Hashable,
        run_s: float | None,
        step: StepPaces,
        now_s: float,
    ) -> None:
        """Record that a run is done, after ``run_s`` if that is known."""
        track = self._tracks_by_run.get(run)
        if track is None:
            if run_s is None:
                return
            track = _Track(0, now_s - run_s)
            self._tracks_by_run[run] = track
        track.reported_s = now_s
        step.add(self._identity, track.end(step, now_s))

    def judge(self, now_s: float) -> bool:
        """Judge the worker by what was recorded; return whether it is slow."""
        if not self._tracks_by_run:
            return False
        self._tracks_by_run = {
            run: track
            for run, track in self._tracks_by_run.items()
            if now_s - track.reported_s < 2 * VALID_S
        }
        recent = [
            track
            for track in self._tracks_by_run.values()
            if track.is_recent(now_s)
        ]
        slow = sum(bool(track.slow) for track in recent)
        turned = sum(track.turned for track in recent)
        score = slow + turned - NORMAL_SCORE * (len(recent) - slow)
        self.slow = slow >= MIN_SLOW_TASKS and score >= MIN_SCORE
        self._slow_until_s = now_s + VALID_S if self.slow else -math.inf
        return self.slow
