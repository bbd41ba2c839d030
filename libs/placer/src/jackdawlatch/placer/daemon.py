"""The loops of a placer: watch jobs, plan, execute, renew leases."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

from returns import result

from jackdawlatch.placement import decisions, keys
from jackdawlatch.placer import (
    leases,
    outcome_recorders,
    planning,
    shared,
    start_checks,
    start_recorders,
    starters,
    task_controllers,
)
from jackdawlatch.store import keyvalue

ROUND_INTERVAL_S = 0.25
RETRY_INTERVAL_S = 0.1
RENEW_INTERVAL_S = 5
USAGE_INTERVAL_S = 0.5
WATCH_TIMEOUT_S = 2


class Placer:
    """Places the jobs of one shard while its process leads it."""

    def __init__(
        self,
        context: shared.Context,
        round_planner: planning.RoundPlanner,
        shard: str,
        store: keyvalue.Store,
    ) -> None:
        self.reasons_by_job: dict[str, str] = {}
        self._context = context
        self._authority = context.authority
        self._round_planner = round_planner
        self._prefix = keys.prefix_of(shard)
        self._store = store
        self._starter = starters.Starter(context)
        self._start_recorder = start_recorders.StartRecorder(
            context, self._starter
        )
        self.lease_manager = leases.LeaseManager(context)
        self._task_controller = task_controllers.TaskController(context)
        self._outcome_recorder = outcome_recorders.OutcomeRecorder(context)
        self._start_checker = start_checks.StartChecker(context)
        self._revision = 0
        self._term = 0
        self._wake = asyncio.Event()

    async def follow_jobs(self) -> None:
        """Keep the view of the jobs up to date while leading."""
        while True:
            if not await self.sync(WATCH_TIMEOUT_S):
                await asyncio.sleep(RETRY_INTERVAL_S)

    async def sync(self, timeout_s: float) -> bool:
        """Apply changes of jobs, waiting for them up to ``timeout_s``.

        Returns false while another process leads or the store is unavailable.
        """
        if not self._authority.leads():
            return False
        if self._term == self._authority.term():
            return await self._watch(timeout_s)
        return await self._begin_term()

    async def run_rounds(self) -> None:
        """Run a round at each change, and at least once per interval."""
        while True:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._wake.wait(), ROUND_INTERVAL_S)
            self._wake.clear()
            await self.run_round()

    async def renew_leases(self) -> None:
        """Renew the leases of all tasks periodically."""
        await _repeat(self.lease_manager.renew, RENEW_INTERVAL_S)

    async def read_usage(self) -> None:
        """Read the usage of all workers periodically."""
        await _repeat(self.lease_manager.read_usage, USAGE_INTERVAL_S)

    async def drain(self) -> None:
        """Wait until no start is in progress."""
        await self._starter.drain()

    async def run_round(self) -> None:
        """Run one round, if this process leads and has read the jobs."""
        if self._authority.superseded():
            self._context.tracker.clear()
        leads = self._authority.leads()
        if not leads or self._term != self._authority.term():
            return
        began_s = self._context.clock.monotonic_s()
        self._context.tracker.synchronize(self._context.view.live_by_id)
        await self._outcome_recorder.record()
        self._context.tracker.synchronize(self._context.view.live_by_id)
        self._starter.resume()
        self._start_checker.check()
        await self._execute(self._round_planner.plan())
        duration_s = self._context.clock.monotonic_s() - began_s
        self._context.meters.record('placer_round_seconds', duration_s)

    async def _execute(self, planned: tuple[decisions.Decision, ...]) -> None:
        starts: list[decisions.Start] = []
        refusals: list[decisions.Refuse] = []
        self.reasons_by_job.clear()
        for decision in planned:
            if isinstance(decision, decisions.Start):
                starts.append(decision)
            elif isinstance(decision, decisions.Refuse):
                refusals.append(decision)
            elif isinstance(decision, decisions.Wait):
                self.reasons_by_job[decision.job_id] = decision.reason
            else:
                self._execute_one(decision)
        await self._start_recorder.start(starts)
        await self._outcome_recorder.refuse(refusals)

    def _execute_one(self, decision: decisions.Decision) -> None:
        if isinstance(decision, decisions.Checkpoint):
            self._task_controller.checkpoint(decision)
        elif isinstance(decision, decisions.Throttle):
            self._task_controller.throttle(decision)
        elif isinstance(decision, decisions.Stop):
            self._task_controller.stop(decision)
        elif isinstance(decision, decisions.Claim):
            self._context.tracker.claim(decision.job_id, decision.host)

    async def _begin_term(self) -> bool:
        term = self._authority.term()
        scanned = await self._store.scan(self._prefix)
        if isinstance(scanned, result.Failure):
            return False
        changes = scanned.unwrap()
        # State from an earlier term may be outdated.
        self._context.tracker.clear()
        self._context.view.clear()
        self._context.view.apply(changes.entries)
        self._revision = changes.revision
        self._term = term
        self._wake.set()
        return True

    async def _watch(self, timeout_s: float) -> bool:
        watched = await self._store.watch(
            self._prefix, self._revision, timeout_s
        )
        if isinstance(watched, result.Failure):
            return False
        changes = watched.unwrap()
        self._context.view.apply(changes.entries)
        self._revision = changes.revision
        if changes.entries:
            self._wake.set()
        return True


async def _repeat(step: Callable[[], Awaitable[None]], period_s: float) -> None:
    while True:
        await step()
        await asyncio.sleep(period_s)
