"""Sends requests to workers, and settles starts that were not answered."""

import asyncio
import dataclasses
import functools
import types
from collections.abc import Callable, Coroutine, Iterable, Sequence
from typing import Any

from absl import logging
from returns import result

from jackdawlatch.scheduler import (
    calls,
    clients,
    cluster_state,
    persistence,
    placing,
    reconciliation,
    runs,
    start_orders,
    worker_registry,
    workers,
)

# A worker refuses a start that arrives later than this after it was sent.
# Requests that are not answered may be carried out up to 12 s late.
START_EXPIRY_S = 2.0
RETRY_S = 0.3
# How long a worker that refused a start gets no other one.
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
class Dependencies:
    """Collaborators of the dispatcher.

    ``leading`` tells whether requests may be sent now, ``held`` whether they
    may be sent now or later in this term.
    """

    cluster: cluster_state.ClusterState
    registry: worker_registry.WorkerRegistry
    reconciler: reconciliation.Reconciler
    progress_writer: persistence.ProgressWriter
    term: persistence.Term
    client: clients.WorkerClient
    leading: Callable[[], bool]
    held: Callable[[], bool]
    spawn: Callable[[Coroutine[Any, Any, None]], Any]


class Dispatcher:
    """Starts and stops runs and polls workers.

    Each request addresses one boot of a worker.
    """

    def __init__(self, dependencies: Dependencies) -> None:
        self._dependencies = dependencies
        self._stopping: set[tuple[str, int, calls.RunId]] = set()
        self._settling: set[runs.Run] = set()
        self._clock = dependencies.cluster.dependencies.clock

    def place(self, placements: Iterable[placing.Placement]) -> None:
        """Persist the placements, then send their starts.

        The members of a gang are all sent, or none of them.
        """
        orders_by_group: dict[object, list[start_orders.StartOrder]] = {}
        for placement in placements:
            task = placement.task
            group = task.state if task.step.gang else task
            orders_by_group.setdefault(group, []).append(
                start_orders.create(self._dependencies.cluster, placement)
            )
        for orders in orders_by_group.values():
            self._dependencies.progress_writer.enqueue(
                orders[0].run.task.job,
                functools.partial(self._send_starts, orders),
            )

    def stop(self, worker: workers.Worker, run_id: calls.RunId) -> None:
        """Stop a run in the background, retried until the worker answers."""
        key = (worker.entry.id, worker.entry.born_ms, run_id)
        # Without an address, the run is stopped once the worker reports it.
        if worker.entry.address and key not in self._stopping:
            self._stopping.add(key)
            # Set before the call: a caller that stops several runs counts the
            # ones that are stopping already.
            run = worker.runs_by_task.get(run_id.task)
            if run is not None and run.attempt == run_id.attempt:
                if run.phase is runs.RunPhase.RUNNING:
                    run.phase = runs.RunPhase.STOPPING
            self._dependencies.spawn(self._stop(worker, run_id, key))

    async def poll(
        self, worker: workers.Worker, lease_s: float | None, wait_s: float
    ) -> bool:
        """Poll a worker and extend its lease; return whether it answered.

        Without ``lease_s`` the lease stays as it is.  The worker may delay its
        answer by up to ``wait_s`` until a run ends.
        """
        if not self._dependencies.leading():
            return False
        requested_s = self._clock.monotonic_s()
        if lease_s is not None:
            worker.lease.extend(lease_s, requested_s)
            lease_s += worker.clock_s(requested_s)
        polled = await self._dependencies.client.poll(
            worker.target,
            calls.Poll(
                token=self._dependencies.term.token,
                acked=worker.acked,
                lease_s=lease_s,
                wait_s=wait_s,
            ),
        )
        if not self._dependencies.cluster.knows(worker):
            # A later boot of the worker has replaced this one meanwhile.
            return False
        if isinstance(polled, result.Failure):
            self._handle_failure(worker, polled.failure())
            return False
        status = polled.unwrap()
        worker.set_clock(status.clock_s, self._clock.monotonic_s())
        if status.born_ms and status.born_ms != worker.entry.born_ms:
            self._dependencies.registry.find_boot(worker, status.born_ms)
            return False
        self._dependencies.reconciler.reconcile(worker, status, requested_s)
        return True

    def settle(self, run: runs.Run) -> None:
        """Find out in the background whether an unanswered start took effect."""
        run.phase = runs.RunPhase.UNSETTLED
        # An answer of another boot of the worker does not settle this run.
        run.settled_after_s = None
        if run not in self._settling:
            self._settling.add(run)
            self._dependencies.spawn(self._settle(run))

    def _send_starts(self, orders: Sequence[start_orders.StartOrder]) -> None:
        obstacle = start_orders.find_obstacle(orders)
        if not self._dependencies.leading():
            obstacle = 'not-leading'
        now_s = self._clock.monotonic_s()
        for order in orders:
            run = order.run
            if not run.unsent:
                continue
            if obstacle:
                self._dependencies.cluster.release(run, obstacle)
                continue
            run.worker.lease.extend(START_EXPIRY_S, now_s)
            run.mark_sent(now_s)
            run.phase = runs.RunPhase.ORDERED
            self._dependencies.spawn(self._start(order, now_s))

    async def _start(
        self, order: start_orders.StartOrder, ordered_s: float
    ) -> None:
        run = order.run
        worker = run.worker
        started = await self._dependencies.client.start(
            worker.target,
            calls.Start(
                task=run.task.id,
                attempt=run.attempt,
                spec=run.task.job.job.spec,
                token=self._dependencies.term.token,
                # The lease may have been recorded since it was ordered.
                expires_s=worker.clock_s(ordered_s) + START_EXPIRY_S,
                checkpoint=run.checkpoint,
                ticket=order.ticket,
            ),
        )
        if run.phase is not runs.RunPhase.ORDERED:
            return
        if isinstance(started, result.Success):
            run.phase = runs.RunPhase.RUNNING
            run.task.job.begun = True
            run.last_progress_s = self._clock.monotonic_s()
            if run.task.job.ended:
                self.stop(worker, run.run_id)
            return
        self._handle_start_failure(run, started.failure())

    def _handle_start_failure(
        self, run: runs.Run, failure: calls.CallFailure
    ) -> None:
        if isinstance(failure, calls.Unanswered):
            self.settle(run)
            return
        self._handle_failure(run.worker, failure)
        self._dependencies.cluster.release(run, failure.line())

    def _handle_failure(
        self, worker: workers.Worker, failure: calls.CallFailure
    ) -> None:
        if not isinstance(failure, calls.Refused):
            if worker.reachable:
                logging.info(
                    'worker %s is unreachable: %s',
                    worker.entry.id,
                    failure.line(),
                )
                worker.health.lost_s = self._clock.monotonic_s()
            worker.reachable = False
            worker.health.silent = True
            return
        if failure.reason is calls.Refusal.FENCED:
            self._dependencies.progress_writer.deposed.set()
        if failure.reason is calls.Refusal.OTHER_BOOT:
            # The address has passed to another worker.
            self._dependencies.registry.end(worker)
        penalty_s = PENALTIES_S_BY_REASON.get(failure.reason, 0)
        worker.health.suspend(self._clock.monotonic_s() + penalty_s)

    async def _settle(self, run: runs.Run) -> None:
        run_id = run.run_id
        while _unsettled(run) and await self._wait_until_leading():
            await self.poll(run.worker, None, 0)
            if not _unsettled(run):
                break
            worker = run.worker
            stopped = await self._dependencies.client.stop(
                worker.target, run_id, self._dependencies.term.token
            )
            if isinstance(stopped, result.Success) and run.worker is worker:
                run.settled_after_s = self._clock.monotonic_s()
                await self.poll(run.worker, None, 0)
            await asyncio.sleep(RETRY_S)
        self._settling.discard(run)

    async def _wait_until_leading(self) -> bool:
        """Wait until requests may be sent; return False once the term ended."""
        while self._dependencies.held():
            if self._dependencies.leading():
                return True
            await asyncio.sleep(RETRY_S)
        return False

    async def _stop(
        self,
        worker: workers.Worker,
        run_id: calls.RunId,
        key: tuple[str, int, calls.RunId],
    ) -> None:
        # A worker without registration may go on running its tasks.
        while (
            self._dependencies.cluster.knows(worker)
            and await self._wait_until_leading()
        ):
            stopped = await self._dependencies.client.stop(
                worker.target, run_id, self._dependencies.term.token
            )
            if not isinstance(stopped, result.Failure):
                break
            if _is_final(stopped.failure()):
                self._handle_failure(worker, stopped.failure())
                break
            await asyncio.sleep(RETRY_S)
        self._stopping.discard(key)


def _is_final(failure: calls.CallFailure) -> bool:
    """Whether a stop that failed would fail again."""
    return (
        isinstance(failure, calls.Refused)
        and failure.reason is not calls.Refusal.UNHEALTHY
    )


def _unsettled(run: runs.Run) -> bool:
    """Whether it is still unknown if the start of a run took effect."""
    assigned = run.worker.runs_by_task.get(run.task.id) is run
    return assigned and run.phase is runs.RunPhase.UNSETTLED
