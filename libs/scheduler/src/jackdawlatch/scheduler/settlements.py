"""Finds out whether starts without an answer took effect."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from returns import result

from jackdawlatch.model import clocks
from jackdawlatch.scheduler import (
    call_failures,
    calls,
    cluster_state,
    fences,
    runs,
    start_orders,
    workers,
)

RETRY_S = 0.3

Started = result.Result[float | None, calls.CallFailure]
Stopped = result.Result[None, calls.CallFailure]


@dataclasses.dataclass(frozen=True)
class Requests:
    """The requests that settle a start, and what is done with their answers.

    ``held`` waits until requests may be sent, and returns False once the term has
    ended.  ``start`` sends a start, which counts as ordered at a given time;
    ``on_started`` gets the time on the clock of the boot that has answered it.
    """

    leading: Callable[[], bool]
    held: Callable[[], Awaitable[bool]]
    poll: Callable[[workers.Worker, float | None, float], Awaitable[bool]]
    start: Callable[[start_orders.StartOrder, int, float], Awaitable[Started]]
    stop: Callable[[workers.Worker, calls.RunId], Awaitable[Stopped]]
    on_started: Callable[[start_orders.StartOrder, float | None, float], None]


@dataclasses.dataclass(frozen=True)
class Dependencies:
    """Collaborators of the settlements.

    ``on_unsettled`` is called with each run that another boot may have.
    """

    cluster: cluster_state.ClusterState
    fences: fences.Fences
    failures: call_failures.CallFailures
    clock: clocks.Clock
    requests: Requests
    spawn: Callable[[Coroutine[Any, Any, None]], Any]
    on_unsettled: Callable[[runs.Run], None]


class Settlements:
    """Repeats starts without an answer, or makes their workers refuse them."""

    def __init__(self, dependencies: Dependencies) -> None:
        self._dependencies = dependencies
        self._cluster = dependencies.cluster
        self._requests = dependencies.requests
        self._settling: set[runs.Run] = set()

    def begin_unanswered(self, order: start_orders.StartOrder) -> None:
        """Settle a start that got no answer, in the background."""
        self._expect_late_start(order.run)
        self.begin(order)

    def begin(self, order: start_orders.StartOrder) -> None:
        """Settle a start that another boot may have answered."""
        run = order.run
        run.phase = runs.RunPhase.UNSETTLED
        self._cluster.note('start-unanswered', run, 'settling')
        # An answer of another boot of the worker does not settle this run.
        run.settled_after_s = None
        self._dependencies.on_unsettled(run)
        if run not in self._settling:
            self._settling.add(run)
            self._dependencies.spawn(self._settle(order))

    async def _settle(self, order: start_orders.StartOrder) -> None:
        run, worker = order.run, order.run.worker
        while _is_unsettled(run, worker) and await self._requests.held():
            await self._requests.poll(worker, None, 0)
            if _is_unsettled(run, worker):
                await self._start_again(order)
            if _is_unsettled(run, worker):
                await self._withdraw(run, worker)
                await asyncio.sleep(RETRY_S)
        self._settling.discard(run)

    async def _withdraw(self, run: runs.Run, worker: workers.Worker) -> None:
        """Make the worker refuse a start, and ask whether it has the run."""
        stopped = await self._requests.stop(worker, run.run_id)
        if isinstance(stopped, result.Success):
            run.settled_after_s = self._dependencies.clock.monotonic_s()
            await self._requests.poll(worker, None, 0)

    async def _start_again(self, order: start_orders.StartOrder) -> None:
        """Repeat a start, if it may still be sent.

        A worker that has the run already takes it for the same one, so that its
        task need not wait for a place on another worker.
        """
        run, worker = order.run, order.run.worker
        token = self._dependencies.fences.token(worker)
        if token is None or not self._may_start_again(run):
            return
        self._cluster.note('start-repeated', run, 'settling')
        ordered_s = self._dependencies.clock.monotonic_s()
        started = await self._requests.start(order, token, ordered_s)
        if not _is_unsettled(run, worker):
            return
        if isinstance(started, result.Success):
            self._requests.on_started(order, started.unwrap(), ordered_s)
        elif isinstance(started.failure(), calls.Unanswered):
            self._expect_late_start(run)
            self._dependencies.on_unsettled(run)
        else:
            # The first start may have taken effect all the same.
            self._dependencies.failures.record(worker, started.failure(), token)

    def _may_start_again(self, run: runs.Run) -> bool:
        # The other members of a gang may have given up the wait for this one.
        if run.task.step.gang or run.obstacle:
            return False
        return run.worker.usable and self._requests.leading()

    def _expect_late_start(self, run: runs.Run) -> None:
        self._cluster.dependencies.late_starts.add(
            run.task.id, run.worker.entry.id, self._cluster.now_s
        )


def _is_unsettled(run: runs.Run, worker: workers.Worker) -> bool:
    """Whether it is unknown if the start of a run on a boot took effect."""
    assigned = worker.runs_by_task.get(run.task.id) is run
    return assigned and run.phase is runs.RunPhase.UNSETTLED
