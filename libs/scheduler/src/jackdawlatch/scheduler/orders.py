"""Gives orders to workers, and settles those that were not answered."""

import asyncio
import dataclasses
import functools
import types
from collections.abc import Callable, Coroutine, Iterable
from typing import Any

from absl import logging
from returns import result

from jackdawlatch.jobs import stored
from jackdawlatch.scheduler import (
    book,
    calls,
    clients,
    placing,
    reconcile,
    roll,
    runs,
    workers,
)
from jackdawlatch.scheduler import ledger as ledgers

# A start is refused by its worker this long after it was sent; orders that
# go unanswered may be carried out up to 12 s late.
START_EXPIRY_S = 2.0
RETRY_S = 0.3
# How long a worker that refused a start gets no other.
REFUSED_PENALTY_S = 0.3
UNHEALTHY_PENALTY_S = 1.5

PENALTIES_S_BY_REASON = types.MappingProxyType(
    {
        calls.Refusal.NO_ROOM: REFUSED_PENALTY_S,
        calls.Refusal.UNHEALTHY: UNHEALTHY_PENALTY_S,
        calls.Refusal.OTHER_BOOT: UNHEALTHY_PENALTY_S,
        calls.Refusal.INVALID: UNHEALTHY_PENALTY_S,
    }
)


@dataclasses.dataclass(frozen=True)
class Parts:
    """What orders are given with.

    ``leading`` tells whether they may be given now, ``held`` whether they may
    be again.
    """

    book: book.Book
    roll: roll.Roll
    reconciler: reconcile.Reconciler
    ledger: ledgers.Ledger
    term: ledgers.Term
    client: clients.WorkerClient
    leading: Callable[[], bool]
    held: Callable[[], bool]
    spawn: Callable[[Coroutine[Any, Any, None]], Any]


class Orders:
    """Starts, stops and looks; each order names one boot of a worker."""

    def __init__(self, parts: Parts) -> None:
        self._parts = parts
        self._stopping: set[tuple[str, int, calls.RunName]] = set()
        self._settling: set[runs.Run] = set()
        self._clock = parts.book.parts.clock

    def place(self, placements: Iterable[placing.Placement]) -> None:
        """Write the starts, then order each one."""
        for placement in placements:
            task = placement.task
            run = self._parts.book.assign(
                task,
                placement.worker,
                placement.attempt,
                runs.RunPhase.WRITING,
            )
            if task.job.phase is stored.JobPhase.QUEUED:
                task.job.phase = stored.JobPhase.RUNNING
            self._parts.ledger.mark(
                task.job, functools.partial(self._order, run, placement.ticket)
            )

    def stop(self, worker: workers.Worker, name: calls.RunName) -> None:
        """Stop a run; repeated until the worker has answered."""
        key = (worker.entry.id, worker.entry.born_ms, name)
        if key not in self._stopping:
            self._stopping.add(key)
            # At once: who stops several runs counts those that are leaving.
            run = worker.runs_by_task.get(name.task)
            if run is not None and run.attempt == name.attempt:
                if run.phase is runs.RunPhase.RUNNING:
                    run.phase = runs.RunPhase.STOPPING
            self._parts.spawn(self._stop(worker, name, key))

    async def look(
        self, worker: workers.Worker, lease_s: float | None, wait_s: float
    ) -> bool:
        """Ask for a worker's lists; return whether it answered."""
        if not self._parts.leading():
            return False
        asked_s = self._clock.monotonic_s()
        if lease_s is not None:
            worker.extend_lease(lease_s, asked_s)
            lease_s += worker.clock_s(asked_s)
        looked = await self._parts.client.look(
            worker.target,
            calls.Look(
                token=self._parts.term.token,
                acked=worker.acked,
                lease_s=lease_s,
                wait_s=wait_s,
            ),
        )
        if self._parts.book.workers_by_id.get(worker.entry.id) is not worker:
            # A later life is known already; nobody looks at this one again.
            return False
        if isinstance(looked, result.Failure):
            self._failed(worker, looked.failure())
            return False
        lists = looked.unwrap()
        worker.set_clock(lists.clock_s, self._clock.monotonic_s())
        if lists.born_ms and lists.born_ms != worker.entry.born_ms:
            self._parts.roll.take(
                dataclasses.replace(worker.entry, born_ms=lists.born_ms)
            )
            return False
        self._parts.reconciler.take(worker, lists, asked_s)
        return True

    def settle(self, run: runs.Run) -> None:
        """Find out whether an order that was not answered took effect."""
        run.phase = runs.RunPhase.UNSETTLED
        # What another life of the worker answered settles nothing.
        run.settled_after_s = None
        if run not in self._settling:
            self._settling.add(run)
            self._parts.spawn(self._settle(run))

    def _order(self, run: runs.Run, ticket: str) -> None:
        if run.task.run is not run or run.phase is not runs.RunPhase.WRITING:
            return
        if run.task.job.ended or not self._parts.leading():
            self._parts.book.release(run, 'not-ordered')
            return
        run.phase = runs.RunPhase.ORDERED
        self._parts.spawn(self._start(run, ticket))

    async def _start(self, run: runs.Run, ticket: str) -> None:
        worker = run.worker
        now_s = self._clock.monotonic_s()
        worker.extend_lease(START_EXPIRY_S, now_s)
        started = await self._parts.client.start(
            worker.target,
            calls.Start(
                task=run.task.id,
                attempt=run.attempt,
                spec=run.task.job.job.spec,
                token=self._parts.term.token,
                expires_s=worker.clock_s(now_s) + START_EXPIRY_S,
                checkpoint=run.checkpoint,
                ticket=ticket,
            ),
        )
        if run.phase is not runs.RunPhase.ORDERED:
            return
        if isinstance(started, result.Success):
            run.phase = runs.RunPhase.RUNNING
            run.news_s = self._clock.monotonic_s()
            if run.task.job.ended:
                self.stop(worker, run.name)
            return
        self._not_started(run, started.failure())

    def _not_started(self, run: runs.Run, failure: calls.CallFailure) -> None:
        if isinstance(failure, calls.Unanswered):
            self.settle(run)
            return
        self._failed(run.worker, failure)
        self._parts.book.release(run, failure.line())

    def _failed(
        self, worker: workers.Worker, failure: calls.CallFailure
    ) -> None:
        if not isinstance(failure, calls.Refused):
            if worker.reachable:
                logging.info(
                    'worker %s lost: %s', worker.entry.id, failure.line()
                )
            worker.reachable = False
            return
        if failure.reason is calls.Refusal.FENCED:
            self._parts.ledger.deposed.set()
        penalty_s = PENALTIES_S_BY_REASON.get(failure.reason, 0)
        worker.standing.suspend(self._clock.monotonic_s() + penalty_s)

    async def _settle(self, run: runs.Run) -> None:
        name = run.name
        while _unsettled(run) and await self._permitted():
            await self.look(run.worker, None, 0)
            if not _unsettled(run):
                break
            worker = run.worker
            stopped = await self._parts.client.stop(
                worker.target, name, self._parts.term.token
            )
            if isinstance(stopped, result.Success) and run.worker is worker:
                run.settled_after_s = self._clock.monotonic_s()
                await self.look(run.worker, None, 0)
            await asyncio.sleep(RETRY_S)
        self._settling.discard(run)

    async def _permitted(self) -> bool:
        """Wait until orders may be given; False when they never will."""
        while self._parts.held():
            if self._parts.leading():
                return True
            await asyncio.sleep(RETRY_S)
        return False

    async def _stop(
        self,
        worker: workers.Worker,
        name: calls.RunName,
        key: tuple[str, int, calls.RunName],
    ) -> None:
        while worker.listed and await self._permitted():
            stopped = await self._parts.client.stop(
                worker.target, name, self._parts.term.token
            )
            if not isinstance(stopped, result.Failure):
                break
            if isinstance(stopped.failure(), calls.Refused):
                self._failed(worker, stopped.failure())
                break
            await asyncio.sleep(RETRY_S)
        self._stopping.discard(key)


def _unsettled(run: runs.Run) -> bool:
    """Whether it is still open if a run's order took effect."""
    believed = run.worker.runs_by_task.get(run.task.id) is run
    return believed and run.phase is runs.RunPhase.UNSETTLED
