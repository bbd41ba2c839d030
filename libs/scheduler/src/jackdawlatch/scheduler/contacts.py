"""Keeps in touch with every worker: extends leases, collects ends."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from jackdawlatch.scheduler import book, orders, workers

# Long enough for a change of leaders after a lost lease, short enough that
# the tasks of a lost worker are started again soon.
LEASE_S = 6.0
HOLD_WAIT_S = 2.0
LOOKS_PER_LEASE = 3
PROBE_S = 0.25
# Leases are extended also while the store takes no ends.
STORING_S = 1.0


class Contacts:
    """One loop for each worker; its next look follows the last answer."""

    def __init__(
        self,
        own: book.Book,
        own_orders: orders.Orders,
        spawn: Callable[[Coroutine[Any, Any, None]], Any],
    ) -> None:
        self._book = own
        self._orders = own_orders
        self._spawn = spawn
        self._lease_s = min(LEASE_S, own.parts.bounds.lease_s)
        # Several looks have to fit into one lease.
        self._wait_s = min(HOLD_WAIT_S, self._lease_s / LOOKS_PER_LEASE)
        self._active: set[workers.Worker] = set()

    def join(self, worker: workers.Worker) -> None:
        """Begin to look at a worker, unless that was begun."""
        if worker not in self._active:
            self._active.add(worker)
            self._spawn(self._follow(worker))

    async def _follow(self, worker: workers.Worker) -> None:
        known = self._book.workers_by_id
        while known.get(worker.entry.id) is worker:
            if not worker.listed and not worker.runs_by_task:
                break
            if worker.reachable:
                answered = await self._orders.look(
                    worker, self._lease_s, self._wait_s
                )
            else:
                # A lease that is not extended bounds the wait for its runs.
                answered = await self._orders.look(worker, None, 0)
            if answered:
                # A look answers at once while ends wait to be acknowledged.
                await worker.all_stored(STORING_S)
            else:
                worker.reachable = False
                await asyncio.sleep(PROBE_S)
        self._active.discard(worker)
