"""Judges workers by what they finish, not by what they say."""

import asyncio
from collections.abc import Callable

from jackdawlatch.scheduler import book, runs, workers

PERIOD_S = 0.25
# A look comes at least every 2 s; a run that shows no progress over this time
# was looked at more than once.
STALL_S = 2.6
STALL_PENALTY_S = 4.0
# The first failure may be the task's own; each further one in a row weighs
# twice as much.
FAILURE_PENALTY_S = 0.5
MOST_FAILURE_PENALTY_S = 8.0


def failed(worker: workers.Worker, now_s: float) -> None:
    """Note that a run failed: the worker gets nothing for a while."""
    standing = worker.standing
    penalty_s = FAILURE_PENALTY_S * 2**standing.failures_in_row
    standing.failures_in_row += 1
    standing.suspend(now_s + min(penalty_s, MOST_FAILURE_PENALTY_S))


def finished(worker: workers.Worker) -> None:
    """Note that a run was done."""
    worker.standing.failures_in_row = 0


class Stalls:
    """Stops runs that make no progress, so that they start elsewhere."""

    def __init__(self, own: book.Book, leading: Callable[[], bool]) -> None:
        self._book = own
        self._leading = leading

    async def run(self) -> None:
        """Watch all runs until cancelled."""
        while True:
            await asyncio.sleep(PERIOD_S)
            if self._leading():
                for worker in tuple(self._book.workers_by_id.values()):
                    self._check(worker)

    def _check(self, worker: workers.Worker) -> None:
        for run in tuple(worker.runs_by_task.values()):
            if _stalled(run, worker.looked_s):
                now_s = self._book.now_s
                worker.standing.suspend(now_s + STALL_PENALTY_S)
                run.task.avoided = worker.entry.id
                self._book.note('stalled', run, f'{run.percent} percent')
                self._book.stop(run)


def _stalled(run: runs.Run, looked_s: float) -> bool:
    if run.phase is not runs.RunPhase.RUNNING or run.pace < runs.FULL_PACE:
        return False
    # Lasting tasks do not progress, and a gang waits for its last member.
    if run.task.step.lasting or run.task.step.gang:
        return False
    return looked_s - run.news_s > STALL_S
