"""The loops of a placer: follow the book, plan, carry out, keep leases."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

from returns import result

from jackdawlatch.placement import decisions, keys
from jackdawlatch.placer import (
    finishers,
    leases,
    movers,
    planning,
    recorders,
    settlers,
    starters,
    tools,
)
from jackdawlatch.store import keyvalue

ROUND_S = 0.25
IDLE_S = 0.1
RENEW_S = 5
USAGE_S = 0.5
WATCH_S = 2


class Placer:
    """Acts for one shard while its process leads it."""

    def __init__(
        self,
        own: tools.Tools,
        plans: planning.Planning,
        shard: str,
        store: keyvalue.Store,
    ) -> None:
        self.reasons_by_job: dict[str, str] = {}
        self._own = own
        self._authority = own.authority
        self._planning = plans
        self._prefix = keys.prefix_of(shard)
        self._store = store
        self._starter = starters.Starter(own)
        self._recorder = recorders.Recorder(own, self._starter)
        self.keeper = leases.Keeper(own)
        self._mover = movers.Mover(own)
        self._finisher = finishers.Finisher(own)
        self._settler = settlers.Settler(own)
        self._revision = 0
        self._term = 0
        self._wake = asyncio.Event()

    async def follow(self) -> None:
        """Follow the book while leading."""
        while True:
            if not await self.sync(WATCH_S):
                await asyncio.sleep(IDLE_S)

    async def sync(self, timeout_s: float) -> bool:
        """Take in what changed in the book, waiting for at most a time.

        Returns whether it could: not while another process leads, nor while
        the store is away.
        """
        if not self._authority.leads():
            return False
        if self._term == self._authority.term():
            return await self._watch(timeout_s)
        return await self._begin_term()

    async def place(self) -> None:
        """Plan and carry out, at each change and at least each round."""
        while True:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._wake.wait(), ROUND_S)
            self._wake.clear()
            await self.round()

    async def keep(self) -> None:
        """Renew the leases of all tasks again and again."""
        await _repeat(self.keeper.renew, RENEW_S)

    async def read(self) -> None:
        """Read usage again and again."""
        await _repeat(self.keeper.read_usage, USAGE_S)

    async def drain(self) -> None:
        """Wait until no start is under way."""
        await self._starter.drain()

    async def round(self) -> None:
        """Do one round, if this process leads and knows the book."""
        if self._authority.superseded():
            self._own.tracker.clear()
        leads = self._authority.leads()
        if not leads or self._term != self._authority.term():
            return
        began_s = self._own.clock.monotonic_s()
        self._own.tracker.follow(self._own.view.live_by_id)
        await self._finisher.finish()
        self._own.tracker.follow(self._own.view.live_by_id)
        self._starter.resume()
        self._settler.settle()
        await self._carry_out(self._planning.plan())
        took_s = self._own.clock.monotonic_s() - began_s
        self._own.meters.record('placer_round_seconds', took_s)

    async def _carry_out(self, planned: tuple[decisions.Decision, ...]) -> None:
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
                self._act(decision)
        await self._recorder.start(starts)
        await self._finisher.refuse(refusals)

    def _act(self, decision: decisions.Decision) -> None:
        if isinstance(decision, decisions.Checkpoint):
            self._mover.checkpoint(decision)
        elif isinstance(decision, decisions.Throttle):
            self._mover.throttle(decision)
        elif isinstance(decision, decisions.Stop):
            self._mover.stop(decision)
        elif isinstance(decision, decisions.Claim):
            self._own.tracker.claim(decision.job_id, decision.host)

    async def _begin_term(self) -> bool:
        term = self._authority.term()
        scanned = await self._store.scan(self._prefix)
        if isinstance(scanned, result.Failure):
            return False
        changes = scanned.unwrap()
        # What was learned in an earlier term may be out of date.
        self._own.tracker.clear()
        self._own.view.clear()
        self._own.view.take(changes.entries)
        self._revision = changes.revision
        self._term = term
        self._wake.set()
        return True

    async def _watch(self, timeout_s: float) -> bool:
        seen = await self._store.watch(self._prefix, self._revision, timeout_s)
        if isinstance(seen, result.Failure):
            return False
        changes = seen.unwrap()
        self._own.view.take(changes.entries)
        self._revision = changes.revision
        if changes.entries:
            self._wake.set()
        return True


async def _repeat(step: Callable[[], Awaitable[None]], period_s: float) -> None:
    while True:
        await step()
        await asyncio.sleep(period_s)
