"""Runs the scheduler for one leadership term."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Callable, Coroutine
from typing import Any

from absl import logging

from jackdawlatch.jobs import queues, stored
from jackdawlatch.model import clocks
from jackdawlatch.scheduler import boot_records as boots
from jackdawlatch.scheduler import (
    clients,
    cluster_state,
    dispatch,
    health,
    housekeeping,
    job_loader,
    lateness,
    observers,
    pacing,
    persistence,
    polling,
    reconciliation,
    rounds,
    supervision,
    waves,
    worker_registry,
)
from jackdawlatch.scheduler import departures as worker_departures
from jackdawlatch.scheduler import fences as worker_fences
from jackdawlatch.scheduler import lease_records as leases
from jackdawlatch.scheduler import pools as machine_pools
from jackdawlatch.store import following, transactions
from jackdawlatch.telemetry import decisions

POLL_S = 0.1
REGISTRY_WATCH_TIMING = following.WatchTiming(pause_s=0.1)


@dataclasses.dataclass(frozen=True)
class Settings:
    """Limits of the platform, durations in seconds."""

    bounds: cluster_state.Bounds
    retention_s: float
    pools: machine_pools.Limits
    waves: waves.Settings


@dataclasses.dataclass(frozen=True)
class Dependencies:
    """Collaborators of a leader.

    ``leading`` tells whether requests may be sent now.  ``held`` is false once
    the leadership is known to be lost; while it is true, a renewal of the lease
    may still make ``leading`` true again.
    """

    store: transactions.TransactionalStore
    clock: clocks.Clock
    log: decisions.DecisionLog
    worker_client: clients.WorkerClient
    machine_client: clients.MachineClient
    advice_client: clients.AdviceClient
    directory: observers.Directory
    lease_sightings: observers.LeaseSightings
    leading: Callable[[], bool]
    held: Callable[[], bool]
    settings: Settings


class Leader:
    """Places tasks and maintains machines until the leadership is lost."""

    def __init__(
        self,
        dependencies: Dependencies,
        term: persistence.Term,
        catalog: queues.Catalog,
    ) -> None:
        self._dependencies = dependencies
        self._term = term
        self._tasks: set[asyncio.Task[None]] = set()
        self._progress_writer = persistence.ProgressWriter(
            dependencies.store, term
        )
        self.cluster = cluster_state.ClusterState(
            cluster_state.Dependencies(
                dependencies.clock,
                self._progress_writer,
                dependencies.log,
                dependencies.settings.bounds,
            ),
            catalog,
        )
        job_lateness = lateness.Lateness()
        self._registry = worker_registry.WorkerRegistry(self.cluster)
        fences = worker_fences.Fences(
            worker_fences.Dependencies(
                dependencies.store,
                term,
                self._leading,
                self._progress_writer.deposed,
            )
        )
        self._lease_records = leases.LeaseRecords(
            leases.Dependencies(
                self.cluster,
                dependencies.store,
                term,
                dependencies.lease_sightings,
                self._progress_writer,
                self._leading,
            )
        )
        dispatcher = dispatch.Dispatcher(
            dispatch.Dependencies(
                self.cluster,
                self._registry,
                reconciliation.Reconciler(self.cluster, job_lateness),
                self._progress_writer,
                fences,
                dependencies.worker_client,
                self._leading,
                self._held,
                self._spawn,
                self._lease_records.add_unanswered,
            )
        )
        self.cluster.on_unwanted_run = dispatcher.stop
        self._dispatcher = dispatcher
        self._poller = polling.WorkerPoller(
            self.cluster, dispatcher, self._lease_records, self._spawn
        )
        self._pacer = pacing.FillerPacer(
            pacing.Dependencies(
                self.cluster.workers_by_id,
                dependencies.worker_client,
                fences,
                self._leading,
            )
        )
        self._pools = machine_pools.Pools(
            machine_pools.Dependencies(
                self.cluster,
                job_lateness,
                dependencies.machine_client,
                term,
                self._leading,
                dependencies.settings.pools,
            )
        )
        self._rounds = rounds.PlanningRounds(
            rounds.Dependencies(
                self.cluster,
                dispatcher,
                dependencies.advice_client,
                job_lateness,
                self._leading,
                lambda: self._pools.withheld,
            )
        )
        self.cluster.on_change = self._rounds.wake
        self.waves = waves.Waves(
            waves.Dependencies(
                self.cluster,
                dispatcher,
                dependencies.machine_client,
                dependencies.store,
                term,
                self._leading,
                self._progress_writer.deposed,
                self._pools.undersupplied,
                lambda: self._pools.lacking,
                dependencies.settings.waves,
            )
        )
        self.cluster.on_new_worker = (self.waves.cordon, self._poller.add)

    async def run(self) -> None:
        """Run every scheduler loop until the leadership is lost."""
        try:
            await self._lead()
        finally:
            for task in tuple(self._tasks):
                task.cancel()

    async def _lead(self) -> None:
        recorder = boots.BootRecords(
            self.cluster, self._dependencies.store, self._term, self._leading
        )
        await asyncio.gather(self._load_leases(), recorder.load(self._held))
        worker_observer = observers.WorkerObserver(
            self._registry, self._dependencies.directory, self._poller.add
        )
        self.cluster.dependencies.named_services.on_named = (
            worker_observer.review_withheld
        )
        worker_follower = following.Follower(
            self._dependencies.store,
            self._dependencies.directory.prefix,
            worker_observer,
            REGISTRY_WATCH_TIMING,
        )
        job_follower = following.Follower(
            self._dependencies.store,
            stored.WORK_PREFIX,
            observers.JobObserver(
                job_loader.JobLoader(
                    self.cluster,
                    dict(self._dependencies.lease_sightings.start_ends_s),
                ),
                await persistence.load_progress(
                    self._dependencies.store, self._dependencies.held
                ),
                self._dependencies.clock,
            ),
            following.WatchTiming(),
        )
        # Jobs first: the end of a run whose job is unknown would be acknowledged
        # without being recorded.
        for follower in (job_follower, worker_follower):
            self._spawn(follower.run())
            await follower.started.wait()
        housekeeper = housekeeping.Housekeeping(
            housekeeping.Dependencies(
                self.cluster,
                self._registry,
                self._dependencies.store,
                self._leading,
                self._dependencies.settings.retention_s,
                self._term,
                self._pools.forecast,
            )
        )
        self._spawn(self._progress_writer.run())
        loops: tuple[supervision.Loop, ...] = (
            self._lease_records.run,
            recorder.run,
            housekeeper.tick,
            housekeeper.publish_pending,
            housekeeper.load_reporter.run,
            self.waves.run,
            self._pools.run,
            *self._rounds.loops(),
            health.StallDetector(self.cluster, self._leading).run,
            worker_departures.Departures(
                worker_departures.Dependencies(
                    self.cluster, self._dispatcher, self._leading, self._spawn
                )
            ).run,
            self._pacer.run,
        )
        for loop in loops:
            self._spawn(
                supervision.keep_running(
                    loop, self._dependencies.clock.monotonic_s
                )
            )
        while self._held():
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(POLL_S):
                    await self._progress_writer.deposed.wait()

    async def _load_leases(self) -> None:
        while self._held():
            if await self._lease_records.load():
                return
            await asyncio.sleep(POLL_S)

    def _leading(self) -> bool:
        return (
            self._dependencies.leading()
            and not self._progress_writer.deposed.is_set()
        )

    def _held(self) -> bool:
        return (
            self._dependencies.held()
            and not self._progress_writer.deposed.is_set()
        )

    def _spawn(self, loop: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(loop)
        self._tasks.add(task)
        task.add_done_callback(self._task_done)

    def _task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logging.error(
                'scheduler loop failed; giving up the leadership',
                exc_info=task.exception(),
            )
            self._progress_writer.deposed.set()
