"""Polls every worker: extends its lease and collects the ends of runs."""

import asyncio
import functools
import math
from collections.abc import Callable, Coroutine
from typing import Any

from jackdawlatch.scheduler import (
    cluster_state,
    dispatch,
    lease_records,
    supervision,
    workers,
)

POLL_WAIT_S = 2.0
POLLS_PER_LEASE = 3
RETRY_S = 0.25
# A few response times of the store, which has to remove a lease record.
CLEAR_WAIT_S = 0.05
# Workers that may delay their answers at the same time; each keeps a connection
# meanwhile.  Other workers answer at once and are polled again after the wait.
MAX_WAITING_POLLS = 512
# Limits the wait for writes, so that leases are extended even while the store
# accepts none.
STORE_WAIT_S = 1.0


class WorkerPoller:
    """Runs one poll loop for each worker.

    The next poll follows the answer to the one before.
    """

    def __init__(
        self,
        cluster: cluster_state.ClusterState,
        dispatcher: dispatch.Dispatcher,
        records: lease_records.LeaseRecords,
        spawn: Callable[[Coroutine[Any, Any, None]], Any],
    ) -> None:
        self._cluster = cluster
        self._dispatcher = dispatcher
        self._spawn = spawn
        self._lease_s = workers.granted_lease_s(
            cluster.dependencies.bounds.lease_s
        )
        # Several polls have to fit into one lease.
        self._wait_s = min(POLL_WAIT_S, self._lease_s / POLLS_PER_LEASE)
        self._lease_records = records
        self._active: set[workers.Worker] = set()
        self._waiting_count = 0

    def add(self, worker: workers.Worker) -> None:
        """Start to poll a worker, unless it is polled already."""
        if worker not in self._active:
            self._active.add(worker)
            self._spawn(
                supervision.keep_running(
                    functools.partial(self._poll_until_gone, worker),
                    self._cluster.dependencies.clock.monotonic_s,
                    # One faulty worker must not end the leadership.
                    max_failures=math.inf,
                )
            )

    async def _poll_until_gone(self, worker: workers.Worker) -> None:
        # It may have been reachable when an earlier poll failed.
        worker.reachable = False
        known = self._cluster.workers_by_id
        while known.get(worker.entry.id) is worker:
            if not worker.registered and not worker.runs_by_task:
                break
            if worker.reachable:
                answered = await self._poll_reachable(worker)
            else:
                # The lease is not extended, so that it ends and the runs of an
                # unreachable worker can be restarted elsewhere.
                answered = await self._dispatcher.poll(worker, None, 0)
            if answered:
                # The worker would answer at once while it has ends that are not
                # acknowledged, so wait until they are persisted.
                await worker.wait_all_stored(STORE_WAIT_S)
            else:
                worker.reachable = False
                await asyncio.sleep(RETRY_S)
        self._active.discard(worker)

    async def _poll_reachable(self, worker: workers.Worker) -> bool:
        """Poll a worker and extend its lease, for about the waiting time."""
        if worker.lease.record is not None:
            self._lease_records.clear()
            answered = await self._dispatcher.poll(worker, None, 0)
            await asyncio.sleep(CLEAR_WAIT_S)
            return answered
        if self._waiting_count >= MAX_WAITING_POLLS:
            answered = await self._dispatcher.poll(worker, self._lease_s, 0)
            await asyncio.sleep(self._wait_s)
            return answered
        self._waiting_count += 1
        try:
            return await self._dispatcher.poll(
                worker, self._lease_s, self._wait_s
            )
        finally:
            self._waiting_count -= 1
