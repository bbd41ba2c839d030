"""Slow workers beside tasks of a long tail, replayed poll by poll."""

import collections
import dataclasses
import heapq
import itertools
import random

from jackdawlatch.policy import worker_pace
from jackdawlatch.testing import functions

POLL_S = 0.5
MIN_POLL_S = 0.05
WORKERS = 8
SLOTS = 4
SLOW = 0
SLOW_FROM_S = 20.0
SLOW_TO_S = 27.0
DAY_S = 60.0
TAIL_SHARE = 0.03
TAIL_FACTOR = 7
WIDTH = 16


@dataclasses.dataclass(eq=False)
class Run:
    """A task on a worker; ``share`` of its work is done."""

    step: worker_pace.StepPaces
    work_s: float
    began_s: float
    share: float = 0


class Fleet:
    """Workers with always full slots; one becomes slow for some seconds."""

    def __init__(self, slowdown: float, mean_s: float, seed: int = 1) -> None:
        self.slow_s_by_worker: collections.Counter[int] = collections.Counter()
        self.seen_s: float = DAY_S
        self.forgotten_s: float = 0
        self._slowdown = slowdown
        self._mean_s = mean_s
        self._random = random.Random(seed)
        self._left = 0
        self._step = worker_pace.StepPaces()
        self._paces = [worker_pace.WorkerPace() for _ in range(WORKERS)]
        self._runs = [
            [self._next(0) for _ in range(SLOTS)] for _ in range(WORKERS)
        ]

    def play(self) -> None:
        """Poll the workers when a run ends, or after a while."""
        due: list[tuple[float, int, float]] = [
            (worker * MIN_POLL_S, worker, 0) for worker in range(WORKERS)
        ]
        while due[0][0] < DAY_S:
            now_s, worker, polled_s = heapq.heappop(due)
            self._poll(worker, now_s, now_s - polled_s)
            left_s = min(
                (1 - run.share) * run.work_s * self._factor(worker, now_s)
                for run in self._runs[worker]
            )
            pause_s = min(POLL_S, max(MIN_POLL_S, left_s))
            heapq.heappush(due, (now_s + pause_s, worker, now_s))

    def _poll(self, worker: int, now_s: float, elapsed_s: float) -> None:
        pace = self._paces[worker]
        for slot, run in enumerate(self._runs[worker]):
            run.share += elapsed_s / run.work_s / self._factor(worker, now_s)
            percent = round(run.share * worker_pace.PERCENTS)
            if percent < worker_pace.PERCENTS:
                pace.report(run, percent, run.step, now_s)
            else:
                pace.end(run, now_s - run.began_s, run.step, now_s)
                self._runs[worker][slot] = self._next(now_s)
        if pace.judge(now_s):
            self.slow_s_by_worker.update({worker: elapsed_s})
            if worker == SLOW:
                self.seen_s = min(self.seen_s, now_s)
                self.forgotten_s = now_s

    def _factor(self, worker: int, now_s: float) -> float:
        slow = worker == SLOW and SLOW_FROM_S < now_s <= SLOW_TO_S
        return self._slowdown if slow else 1

    def _next(self, now_s: float) -> Run:
        if not self._left:
            self._left = WIDTH
            self._step = worker_pace.StepPaces()
        self._left -= 1
        work_s = self._mean_s * self._random.uniform(0.9, 1.1)
        if self._random.random() < TAIL_SHARE:
            work_s *= TAIL_FACTOR
        return Run(self._step, work_s, now_s)


def test_slow_worker_is_seen_and_forgotten_soon():
    spells_s: float = 0
    seen_s: float = 0
    for slowdown, mean_s, seed in itertools.product((4, 7), (1, 5), range(3)):
        fleet = Fleet(slowdown, mean_s, seed)
        fleet.play()
        case = (slowdown, mean_s, seed, fleet.seen_s, fleet.forgotten_s)
        assert SLOW_FROM_S <= fleet.seen_s <= SLOW_FROM_S + 2, case
        assert fleet.forgotten_s <= SLOW_TO_S + 1, case
        spells_s += SLOW_TO_S - SLOW_FROM_S
        seen_s += fleet.slow_s_by_worker[SLOW]
    # Beside several tasks of the long tail a slow worker is not recognized.
    assert seen_s >= spells_s * 0.8, seen_s / spells_s


def test_tasks_of_a_long_tail_make_no_worker_slow():
    for mean_s in (0.4, 1, 5, 50, 600):
        fleet = Fleet(slowdown=1, mean_s=mean_s)
        fleet.play()
        slow_s = fleet.slow_s_by_worker.total()
        # Several long ones may meet by chance.
        assert slow_s <= DAY_S * WORKERS / 200, (mean_s, slow_s)


def test_run_that_stays_slow_counts_for_a_while_only():
    # A worker that recovers speeds up the tasks that it starts from then on.
    step = worker_pace.StepPaces()
    step.add('a', worker_pace.Progress(50, 0.5))
    step.add('b', worker_pace.Progress(50, 0.5))
    pace = worker_pace.WorkerPace()
    verdicts = []
    for poll in range(round(2 * worker_pace.MAX_SLOW_S / POLL_S)):
        for run in range(SLOTS):
            pace.report(run, poll, step, poll * POLL_S)
        verdicts.append(pace.judge(poll * POLL_S))
    assert verdicts[1]
    assert not verdicts[-1]


load_tests = functions.loader(__name__, {})
