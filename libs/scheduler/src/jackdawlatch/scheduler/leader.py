"""What a process does while it leads: one object for each term."""

import asyncio
import dataclasses
from collections.abc import Callable, Coroutine
from typing import Any

from absl import logging
from returns import result

from jackdawlatch.jobs import queues, stored
from jackdawlatch.model import clocks, records
from jackdawlatch.scheduler import (
    book,
    clients,
    fillers,
    ledger,
    observers,
    orders,
    planner,
    tasks,
    waves,
    workers,
)
from jackdawlatch.store import following, keyvalue, transactions
from jackdawlatch.telemetry import decisions

LEASE_S = 6.0
HOLD_WAIT_S = 2.0
PROBE_S = 0.25
TICK_S = 0.2
PLAN_PAUSE_S = 0.01
PENDING_PERIOD_S = 1.0
# Ended jobs are kept as long as callers may ask for them, and a little more.
RETENTION_SLACK_S = 5
REGISTRY_PACE = following.Pace(pause_s=0.1)


@dataclasses.dataclass(frozen=True)
class Settings:
    """Bounds of the platform, in seconds."""

    bounds: book.Bounds
    retention_s: float
    waves: waves.Settings


@dataclasses.dataclass(frozen=True)
class Parts:
    """What a term works with; ``leading`` tells whether it still lasts."""

    store: transactions.TransactionalStore
    clock: clocks.Clock
    log: decisions.DecisionLog
    worker_client: clients.WorkerClient
    machine_client: clients.MachineClient
    directory: observers.Directory
    leading: Callable[[], bool]
    settings: Settings


class Leader:
    """Places tasks and maintains machines until it is deposed."""

    def __init__(
        self, parts: Parts, term: ledger.Term, catalog: queues.Catalog
    ) -> None:
        self._parts = parts
        self._tasks: set[asyncio.Task[None]] = set()
        self._lease_s = min(LEASE_S, parts.settings.bounds.lease_s)
        self._wake = asyncio.Event()
        self._contacts: set[workers.Worker] = set()
        self.ledger = ledger.Ledger(parts.store, term)
        self.book = book.Book(
            book.Parts(
                parts.clock, self.ledger, parts.log, parts.settings.bounds
            ),
            catalog,
        )
        self._orders = orders.Orders(
            orders.Parts(
                self.book,
                self.ledger,
                term,
                parts.worker_client,
                self._leading,
                self._spawn,
            )
        )
        self._planner = planner.Planner(planner.ObjectiveOrder())
        self._fillers = fillers.Fillers(
            fillers.Parts(parts.worker_client, term, self._leading)
        )
        self.waves = waves.Waves(
            waves.Parts(
                self.book,
                self._orders,
                parts.machine_client,
                parts.store,
                term,
                self._leading,
                parts.settings.waves,
            )
        )
        self.book.changed = self._wake.set
        self.book.unwanted = self._orders.stop

    async def run(self) -> None:
        """Lead until deposed."""
        try:
            await self._lead()
        finally:
            for task in tuple(self._tasks):
                task.cancel()

    async def _lead(self) -> None:
        known = await self._progress()
        work = following.Follower(
            self._parts.store,
            stored.WORK_PREFIX,
            observers.WorkObserver(self.book, known),
            following.Pace(),
        )
        registry = following.Follower(
            self._parts.store,
            self._parts.directory.prefix,
            observers.WorkerObserver(
                self.book, self._parts.directory, self._joined
            ),
            REGISTRY_PACE,
        )
        self._spawn(registry.run())
        await registry.started.wait()
        self._spawn(work.run())
        await work.started.wait()
        for loop in (
            self.ledger.run(),
            self._plan_loop(),
            self._tick_loop(),
            self._pending_loop(),
            self.waves.run(),
            self._fillers.run(self.book.workers_by_id),
        ):
            self._spawn(loop)
        while self._leading():
            await asyncio.sleep(PROBE_S)

    async def _progress(self) -> dict[str, keyvalue.Entry]:
        while self._leading():
            scanned = await self._parts.store.scan(stored.PROGRESS_PREFIX)
            if not isinstance(scanned, result.Failure):
                return {
                    entry.key.removeprefix(stored.PROGRESS_PREFIX): entry
                    for entry in scanned.unwrap().entries
                }
            await asyncio.sleep(PROBE_S)
        return {}

    def _leading(self) -> bool:
        return self._parts.leading() and not self.ledger.deposed.is_set()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._finished)

    def _finished(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logging.error('leader failed', exc_info=task.exception())
            self.ledger.deposed.set()

    def _joined(self, worker: workers.Worker) -> None:
        if worker not in self._contacts:
            self._contacts.add(worker)
            self._spawn(self._contact(worker))

    async def _contact(self, worker: workers.Worker) -> None:
        known = self.book.workers_by_id
        while known.get(worker.entry.id) is worker:
            if not worker.listed and not worker.runs_by_task:
                break
            if worker.reachable:
                answered = await self._orders.look(
                    worker, self._lease_s, HOLD_WAIT_S
                )
            else:
                answered = await self._orders.look(worker, None, 0)
            if not answered:
                worker.reachable = False
                await asyncio.sleep(PROBE_S)
        self._contacts.discard(worker)

    async def _plan_loop(self) -> None:
        while True:
            await self._wake.wait()
            await asyncio.sleep(PLAN_PAUSE_S)
            self._wake.clear()
            if self._leading():
                self._plan()

    def _plan(self) -> None:
        candidates: dict[str, list[workers.Worker]] = {}
        for worker in self.book.workers_by_id.values():
            candidates.setdefault(worker.entry.service, []).append(worker)
        clock = self._parts.clock
        self._orders.place(
            self._planner.plan(
                self.book.jobs_by_id.values(),
                candidates,
                planner.Moment(clock.monotonic_s(), clock.wall_s()),
            )
        )

    async def _tick_loop(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            for worker in tuple(self.book.workers_by_id.values()):
                self.book.expire(worker)
            await self._drop_old()
            self._wake.set()

    async def _drop_old(self) -> None:
        latest_s = self._parts.clock.wall_s() - (
            self._parts.settings.retention_s + RETENTION_SLACK_S
        )
        old = [
            job
            for job in self.book.jobs_by_id.values()
            if job.ended and job.ended_s < latest_s
        ]
        for job in old[:1]:
            name = job.job.id
            dropped = await self._parts.store.commit(
                transactions.Transaction(
                    deletes=(
                        f'{stored.JOBS_PREFIX}{name}',
                        f'{stored.CANCELS_PREFIX}{name}',
                        f'{stored.PROGRESS_PREFIX}{name}',
                    )
                )
            )
            if not isinstance(dropped, result.Failure):
                self.book.jobs_by_id.pop(name, None)

    async def _pending_loop(self) -> None:
        told: dict[str, int] | None = None
        while True:
            counts = _pending(self.book.jobs_by_id.values())
            if counts != told and self._leading():
                written = await self._parts.store.commit(
                    transactions.Transaction(
                        puts=(
                            transactions.Put(
                                key=stored.PENDING_KEY,
                                content=records.encode(
                                    stored.Pending(counts_by_queue=counts)
                                ),
                            ),
                        )
                    )
                )
                if not isinstance(written, result.Failure):
                    told = counts
            await asyncio.sleep(PENDING_PERIOD_S)


def _pending(
    jobs: Any,
) -> dict[str, int]:
    counts: dict[str, int] = {}
    for job in jobs:
        if job.phase is stored.JobPhase.QUEUED and not job.job.repeat_count:
            name = job.job.queue
            counts[name] = counts.get(name, 0) + 1
    return counts
