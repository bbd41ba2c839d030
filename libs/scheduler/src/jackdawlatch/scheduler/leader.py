"""What a process does while it leads: one object for each term."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Callable, Coroutine
from typing import Any

from absl import logging
from returns import result

from jackdawlatch.jobs import queues, stored
from jackdawlatch.model import clocks
from jackdawlatch.scheduler import (
    acceptance,
    advisor,
    book,
    clients,
    contacts,
    fillers,
    housekeeping,
    job_order,
    judging,
    mover,
    observers,
    orders,
    pools,
    reconcile,
    roll,
    waves,
)
from jackdawlatch.scheduler import ledger as ledgers
from jackdawlatch.scheduler import planner as planners
from jackdawlatch.scheduler import workers as worker_states
from jackdawlatch.store import following, keyvalue, transactions
from jackdawlatch.telemetry import decisions

POLL_S = 0.1
# Gathers the news of one turn into one planning round.
PLAN_PAUSE_S = 0.01
REGISTRY_PACE = following.Pace(pause_s=0.1)


@dataclasses.dataclass(frozen=True)
class Settings:
    """Bounds of the platform, in seconds and moves of machines a second."""

    bounds: book.Bounds
    retention_s: float
    migration_s: float
    moves_per_s: float
    waves: waves.Settings


@dataclasses.dataclass(frozen=True)
class Parts:
    """What a term works with.

    ``leading`` tells whether orders may be given now, ``held`` whether the
    leadership is not known to be lost: it may be confirmed again.
    """

    store: transactions.TransactionalStore
    clock: clocks.Clock
    log: decisions.DecisionLog
    worker_client: clients.WorkerClient
    machine_client: clients.MachineClient
    advice_client: clients.AdviceClient
    directory: observers.Directory
    leading: Callable[[], bool]
    held: Callable[[], bool]
    settings: Settings


class Leader:
    """Places tasks and maintains machines until it is deposed."""

    def __init__(
        self, parts: Parts, term: ledgers.Term, catalog: queues.Catalog
    ) -> None:
        self._parts = parts
        self._tasks: set[asyncio.Task[None]] = set()
        self._wake = asyncio.Event()
        self._ledger = ledgers.Ledger(parts.store, term)
        self.book = book.Book(
            book.Parts(
                parts.clock, self._ledger, parts.log, parts.settings.bounds
            ),
            catalog,
        )
        self._roll = roll.Roll(self.book)
        own_orders = orders.Orders(
            orders.Parts(
                self.book,
                self._roll,
                reconcile.Reconciler(self.book),
                self._ledger,
                term,
                parts.worker_client,
                self._leading,
                self._held,
                self._spawn,
            )
        )
        self.book.changed = self._wake.set
        self.book.unwanted = own_orders.stop
        self.book.doubtful = own_orders.settle
        self._orders = own_orders
        self._contacts = contacts.Contacts(self.book, own_orders, self._spawn)
        self._advisor = advisor.Advisor(
            self.book, parts.advice_client, self._leading
        )
        self._planner = planners.Planner(
            job_order.ObjectiveOrder(), self._advisor
        )
        self._fillers = fillers.Fillers(
            fillers.Parts(parts.worker_client, term, self._leading)
        )
        self._pools = pools.Pools(
            self.book,
            mover.Mover(
                mover.Parts(
                    self.book,
                    parts.machine_client,
                    term,
                    self._leading,
                    parts.settings.migration_s,
                )
            ),
            self._leading,
            parts.settings.moves_per_s,
        )
        self.waves = waves.Waves(
            waves.Parts(
                self.book,
                own_orders,
                parts.machine_client,
                parts.store,
                term,
                self._leading,
                self._pools.lacking,
                parts.settings.waves,
            )
        )

    async def run(self) -> None:
        """Lead until deposed."""
        try:
            await self._lead()
        finally:
            for task in tuple(self._tasks):
                task.cancel()

    async def _lead(self) -> None:
        registry = following.Follower(
            self._parts.store,
            self._parts.directory.prefix,
            observers.WorkerObserver(
                self._roll, self._parts.directory, self._contacts.join
            ),
            REGISTRY_PACE,
        )
        work = following.Follower(
            self._parts.store,
            stored.WORK_PREFIX,
            observers.WorkObserver(
                acceptance.Acceptance(self.book), await self._progress()
            ),
            following.Pace(),
        )
        # Jobs first: an end of a job that is not known would be forgotten.
        for follower in (work, registry):
            self._spawn(follower.run())
            await follower.started.wait()
        chores = housekeeping.Housekeeping(
            housekeeping.Parts(
                self.book,
                self._roll,
                self._parts.store,
                self._leading,
                self._parts.settings.retention_s,
            )
        )
        for loop in (
            self._ledger.run(),
            self._plan_loop(),
            chores.tick(),
            chores.tell_pending(),
            self.waves.run(),
            self._pools.run(),
            self._advisor.run(),
            judging.Stalls(self.book, self._leading).run(),
            self._fillers.run(self.book.workers_by_id),
        ):
            self._spawn(loop)
        while self._held():
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(POLL_S):
                    await self._ledger.deposed.wait()

    async def _progress(self) -> dict[str, keyvalue.Entry]:
        while self._parts.held():
            scanned = await self._parts.store.scan(stored.PROGRESS_PREFIX)
            if not isinstance(scanned, result.Failure):
                return {
                    entry.key.removeprefix(stored.PROGRESS_PREFIX): entry
                    for entry in scanned.unwrap().entries
                }
            await asyncio.sleep(POLL_S)
        return {}

    def _leading(self) -> bool:
        return self._parts.leading() and not self._ledger.deposed.is_set()

    def _held(self) -> bool:
        return self._parts.held() and not self._ledger.deposed.is_set()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._finished)

    def _finished(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logging.error('leader failed', exc_info=task.exception())
            self._ledger.deposed.set()

    async def _plan_loop(self) -> None:
        while True:
            await self._wake.wait()
            await asyncio.sleep(PLAN_PAUSE_S)
            self._wake.clear()
            if self._leading():
                self._plan()

    def _plan(self) -> None:
        candidates: dict[str, list[worker_states.Worker]] = {}
        for worker in self.book.workers_by_id.values():
            candidates.setdefault(worker.entry.service, []).append(worker)
        clock = self._parts.clock
        self._orders.place(
            self._planner.plan(
                self.book.jobs_by_id.values(),
                candidates,
                job_order.Moment(clock.monotonic_s(), clock.wall_s()),
                self._pools.lending,
            )
        )
