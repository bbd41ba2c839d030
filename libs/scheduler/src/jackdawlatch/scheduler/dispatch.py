"""Sends requests to workers, and settles starts that were not answered."""

import asyncio
import dataclasses
import functools
from collections.abc import Callable, Coroutine, Iterable, Sequence
from typing import Any

from returns import result

from jackdawlatch.scheduler import (
    call_failures,
    calls,
    clients,
    cluster_state,
    fences,
    persistence,
    placements,
    reconciliation,
    runs,
    settlements,
    start_orders,
    worker_registry,
    workers,
)

# A worker refuses a start that arrives later than this after it was sent.
# Requests that are not answered may be carried out up to 12 s late.
START_EXPIRY_S = 2.0
RETRY_S = 0.3


@dataclasses.dataclass(frozen=True)
class Dependencies:
    """Collaborators of the dispatcher.

    ``leading`` tells whether requests may be sent now, ``held`` whether they
    may be sent now or later in this term.  ``on_unanswered`` is called with each
    run whose start got no answer.
    """

    cluster: cluster_state.ClusterState
    registry: worker_registry.WorkerRegistry
    reconciler: reconciliation.Reconciler
    progress_writer: persistence.ProgressWriter
    fences: fences.Fences
    client: clients.WorkerClient
    leading: Callable[[], bool]
    held: Callable[[], bool]
    spawn: Callable[[Coroutine[Any, Any, None]], Any]
    on_unanswered: Callable[[runs.Run], None]


class Dispatcher:
    """Starts and stops runs and polls workers.

    Each request addresses one boot of a worker.
    """

    def __init__(self, dependencies: Dependencies) -> None:
        self._dependencies = dependencies
        self._stopping: set[tuple[str, int, calls.RunId]] = set()
        self._clock = dependencies.cluster.dependencies.clock
        self._fences = dependencies.fences
        self._failures = call_failures.CallFailures(
            call_failures.Dependencies(
                self._clock,
                dependencies.registry,
                dependencies.fences,
                dependencies.cluster.dependencies.bounds.lease_s,
                dependencies.progress_writer.deposed,
            )
        )
        self._settlements = settlements.Settlements(
            settlements.Dependencies(
                dependencies.cluster,
                dependencies.fences,
                self._failures,
                self._clock,
                settlements.Requests(
                    dependencies.leading,
                    self._wait_until_leading,
                    self.poll,
                    self._send_start,
                    self._send_stop,
                    self._record_start,
                ),
                dependencies.spawn,
                dependencies.on_unanswered,
            )
        )

    def place(self, placements: Iterable[placements.Placement]) -> None:
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
        token = None
        if self._dependencies.cluster.knows(worker):
            token = await self._fences.issue(worker)
        if token is None or not self._dependencies.leading():
            return False
        requested_s = self._clock.monotonic_s()
        # It may have been lost while its token was written.
        if lease_s is not None and _may_extend_lease(worker):
            worker.lease.extend(lease_s, requested_s)
            lease_s += worker.clock_s(requested_s)
        else:
            lease_s = None
        acked = worker.acked if worker.reachable else 0
        polled = await self._dependencies.client.poll(
            worker.target,
            calls.Poll(
                token=token,
                acked=acked,
                lease_s=lease_s,
                wait_s=wait_s,
            ),
        )
        if not self._dependencies.cluster.knows(worker):
            # A later boot of the worker has replaced this one meanwhile.
            return False
        if isinstance(polled, result.Failure):
            self._failures.record(worker, polled.failure(), token)
            return False
        status = polled.unwrap()
        if status.born_ms and status.born_ms != worker.entry.born_ms:
            self._dependencies.registry.find_boot(worker, status.born_ms)
            return False
        now_s = self._clock.monotonic_s()
        worker.record_answer(status.clock_s, acked, now_s)
        self._dependencies.reconciler.reconcile(worker, status, requested_s)
        if self._fences.token(worker) != token:
            # Another request was lost meanwhile: the next poll shows more.
            worker.reachable = False
        return True

    def _send_starts(self, orders: Sequence[start_orders.StartOrder]) -> None:
        obstacle = start_orders.find_obstacle(orders, self._fences)
        if not self._dependencies.leading():
            obstacle = 'not-leading'
        now_s = self._clock.monotonic_s()
        for order in orders:
            run = order.run
            if not run.unsent:
                continue
            token = self._fences.token(run.worker)
            if obstacle or token is None:
                self._dependencies.cluster.release(run, obstacle)
                continue
            run.worker.lease.extend(START_EXPIRY_S, now_s)
            run.mark_sent(now_s)
            run.phase = runs.RunPhase.ORDERED
            self._dependencies.spawn(self._start(order, token, now_s))

    async def _start(
        self, order: start_orders.StartOrder, token: int, ordered_s: float
    ) -> None:
        run = order.run
        started = await self._send_start(order, token, ordered_s)
        if run.phase is not runs.RunPhase.ORDERED:
            return
        if isinstance(started, result.Success):
            self._record_start(order, started.unwrap(), ordered_s)
        elif isinstance(started.failure(), calls.Unanswered):
            self._settlements.begin_unanswered(order)
        else:
            failure = started.failure()
            self._failures.record(run.worker, failure, token)
            self._dependencies.cluster.release(run, failure.line())

    async def _send_start(
        self, order: start_orders.StartOrder, token: int, ordered_s: float
    ) -> result.Result[float | None, calls.CallFailure]:
        run = order.run
        worker = run.worker
        worker.lease.extend(START_EXPIRY_S, ordered_s)
        return await self._dependencies.client.start(
            worker.target,
            calls.Start(
                task=run.task.id,
                attempt=run.attempt,
                spec=run.task.job.job.spec,
                token=token,
                # The lease may have been recorded since it was ordered.
                expires_s=worker.clock_s(ordered_s) + START_EXPIRY_S,
                checkpoint=run.checkpoint,
                ticket=order.ticket,
            ),
        )

    def _record_start(
        self,
        order: start_orders.StartOrder,
        clock_s: float | None,
        ordered_s: float,
    ) -> None:
        """Record that a start was answered, with the time on that clock."""
        run = order.run
        run.task.job.begun = True
        if clock_s is not None and not run.worker.is_its_clock(
            clock_s, ordered_s
        ):
            self._failures.record_other_boot(run.worker)
            self._settlements.begin(order)
            return
        run.confirm_start(
            self._clock.monotonic_s(), located=clock_s is not None
        )
        if run.task.job.ended:
            self.stop(run.worker, run.run_id)

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
            stopped = await self._send_stop(worker, run_id)
            if isinstance(stopped, result.Success):
                break
            if _is_final(stopped.failure()):
                break
            await asyncio.sleep(RETRY_S)
        self._stopping.discard(key)

    async def _send_stop(
        self, worker: workers.Worker, run_id: calls.RunId
    ) -> result.Result[None, calls.CallFailure]:
        token = await self._fences.issue(worker)
        if token is None:
            return result.Failure(calls.NotSent(message='no fencing token'))
        stopped = await self._dependencies.client.stop(
            worker.target, run_id, token
        )
        if isinstance(stopped, result.Failure):
            failure = stopped.failure()
            if token != self._fences.token(worker):
                # A later request of this leader may have overtaken it.
                return result.Failure(calls.Unanswered(message=failure.line()))
            if _is_final(failure):
                self._failures.record(worker, failure, token)
        return stopped


def _may_extend_lease(worker: workers.Worker) -> bool:
    return worker.reachable and worker.lease.record is None


def _is_final(failure: calls.CallFailure) -> bool:
    """Whether a stop that failed would fail again."""
    return (
        isinstance(failure, calls.Refused)
        and failure.reason is not calls.Refusal.UNHEALTHY
    )
