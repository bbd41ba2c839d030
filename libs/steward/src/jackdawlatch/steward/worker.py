"""One steward's passes over its shard."""

import asyncio
import dataclasses
from collections.abc import Callable

from returns import result

from jackdawlatch.membership import (
    budget,
    editor,
    shards,
    spares,
    transitions,
)
from jackdawlatch.model import clocks, hosts, presets
from jackdawlatch.steward import backends, calls, reconcile, work
from jackdawlatch.steward import sightings as sighted

MAX_CONCURRENT_CALLS = 16
LIST_PERIOD_S = 2


@dataclasses.dataclass(frozen=True)
class Pass:
    """What one pass did; ``written`` is false when the store was away."""

    value: shards.Shard
    written: bool
    made: tuple[transitions.Transition, ...] = ()
    refused: int = 0
    called: tuple[calls.Call, ...] = ()
    overdue: tuple[work.Overdue, ...] = ()


class Steward:
    """Reads, decides, writes, and only then calls.

    Any number of stewards may run on one shard; that loses efficiency, not
    safety, because each decision is judged again by compare-and-swap.
    """

    def __init__(
        self,
        stored: editor.Editor,
        through: backends.Backends,
        clock: clocks.Clock,
        leads: Callable[[], bool],
    ) -> None:
        self._stored = stored
        self._through = through
        self._clock = clock
        self._leads = leads
        self._gate = asyncio.Semaphore(MAX_CONCURRENT_CALLS)
        self._memory = reconcile.Memory()
        self._sightings: sighted.Sightings | None = None
        self._settled: reconcile.View | None = None

    def forget(self) -> None:
        """Drop what was remembered, because another steward led since."""
        self._memory = reconcile.Memory()
        self._sightings = None
        self._settled = None

    async def run_pass(
        self,
        configuration: presets.Configuration,
        policy: spares.SparePolicy,
        newest_revision: int,
    ) -> Pass | None:
        """Do one pass; None when the store could not be read.

        ``newest_revision`` is that of the shard's value, as far as known.
        """
        read = await self._stored.present(newest_revision)
        if isinstance(read, result.Failure):
            return None
        value = read.unwrap()
        limits = budget.Limits.of(configuration)
        view = await self._look(value, limits)
        if self._settled and reconcile.same(self._settled, view):
            return Pass(value, written=True)
        plan = reconcile.reconcile(view, policy, self._memory)
        self._settled = view if plan.waits_for_nothing(view) else None
        return await self._carry_out(plan, value, limits)

    async def _look(
        self, value: shards.Shard, limits: budget.Limits
    ) -> reconcile.View:
        sightings = await self._list()
        states_by_host = await self._states(value)
        return reconcile.View(
            value=value,
            limits=limits,
            sightings=sightings,
            states_by_host=states_by_host,
            now_s=self._clock.wall_s(),
        )

    async def _list(self) -> sighted.Sightings:
        now_s = self._clock.wall_s()
        seen = self._sightings or sighted.Sightings(since_s=now_s)
        if now_s - seen.listed_s >= LIST_PERIOD_S:
            listed = await self._through.listed()
            if isinstance(listed, result.Success):
                seen = seen.with_list(listed.unwrap(), now_s)
        self._sightings = seen
        return seen

    async def _states(
        self, value: shards.Shard
    ) -> dict[str, backends.HostState]:
        asked = reconcile.in_work(value)
        answers = await asyncio.gather(*(self._state(host) for host in asked))
        return {
            host.id: answer.unwrap()
            for host, answer in zip(asked, answers, strict=True)
            if isinstance(answer, result.Success)
        }

    async def _state(self, host: hosts.Host) -> backends.Stated:
        async with self._gate:
            return await self._through.state(host)

    async def _carry_out(
        self, plan: reconcile.Plan, value: shards.Shard, limits: budget.Limits
    ) -> Pass:
        outcome = transitions.Outcome(value, (), ())
        if plan.made:
            written = await self._stored.make_each(plan.made, limits)
            if isinstance(written, result.Failure):
                return Pass(value, written=False)
            outcome = written.unwrap()
        elif plan.calls:
            # A call follows only from what the store holds now.
            read = await self._stored.read()
            if isinstance(read, result.Failure):
                return Pass(value, written=False)
            outcome = transitions.Outcome(read.unwrap(), (), ())
        self._memory = plan.memory
        due = tuple(call for call in plan.calls if call.due(outcome.value))
        called = await asyncio.gather(
            *(self._call(call, outcome.value) for call in due)
        )
        return Pass(
            value=outcome.value,
            written=True,
            made=outcome.made,
            refused=len(outcome.refused),
            called=tuple(call for call in called if call),
            overdue=plan.overdue,
        )

    async def _call(
        self, call: calls.Call, value: shards.Shard
    ) -> calls.Call | None:
        async with self._gate:
            # A process that was paused may have lost its lease meanwhile.
            if not self._leads():
                return None
            done = await call.make(value.hosts_by_id[call.host], self._through)
        return call if isinstance(done, result.Success) else None
