"""Runs a steward's passes: each one reads, plans, writes and calls."""

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
from jackdawlatch.steward import (
    calls,
    fleet_client,
    host_listing,
    host_views,
    reconcile,
)

MAX_CONCURRENT_CALLS = 16
LIST_PERIOD_S = 2


@dataclasses.dataclass(frozen=True)
class PassResult:
    """What one pass did; ``written`` is false if the store failed.

    ``called`` holds the calls that succeeded.
    """

    value: shards.Shard
    written: bool
    applied: tuple[transitions.Transition, ...] = ()
    refused: int = 0
    called: tuple[calls.Call, ...] = ()
    overdue: tuple[host_views.OverdueDrain, ...] = ()


class Steward:
    """Runs passes over one shard; calls hosts only after it has written.

    Any number of stewards may run on one shard.  That costs efficiency but
    not safety, because each decision is checked again in the compare-and-swap.
    """

    def __init__(
        self,
        shard_editor: editor.Editor,
        client: fleet_client.FleetClient,
        clock: clocks.Clock,
        is_leader: Callable[[], bool],
    ) -> None:
        self._shard_editor = shard_editor
        self._client = client
        self._clock = clock
        self._is_leader = is_leader
        self._call_limit = asyncio.Semaphore(MAX_CONCURRENT_CALLS)
        self._memory = reconcile.Memory()
        self._listing: host_listing.HostListing | None = None
        self._settled_view: reconcile.View | None = None

    def forget(self) -> None:
        """Drop the state kept between passes.

        It is stale once another steward may have led the shard.
        """
        self._memory = reconcile.Memory()
        self._listing = None
        self._settled_view = None

    async def run_pass(
        self,
        configuration: presets.Configuration,
        policy: spares.SparePolicy,
        newest_revision: int,
    ) -> PassResult | None:
        """Run one pass; return None if the store could not be read.

        ``newest_revision`` is the newest known revision of the shard's value.
        """
        read = await self._shard_editor.read_at_least(newest_revision)
        if isinstance(read, result.Failure):
            return None
        value = read.unwrap()
        limits = budget.Limits.of(configuration)
        view = await self._observe(value, limits)
        if self._settled_view and reconcile.unchanged(self._settled_view, view):
            return PassResult(value, written=True)
        plan = reconcile.reconcile(view, policy, self._memory)
        self._settled_view = view if plan.is_settled(view) else None
        return await self._execute(plan, value, limits)

    async def _observe(
        self, value: shards.Shard, limits: budget.Limits
    ) -> reconcile.View:
        listing = await self._refresh_listing()
        states_by_host = await self._states(value)
        return reconcile.View(
            value=value,
            limits=limits,
            listing=listing,
            states_by_host=states_by_host,
            now_s=self._clock.wall_s(),
        )

    async def _refresh_listing(self) -> host_listing.HostListing:
        now_s = self._clock.wall_s()
        listing = self._listing or host_listing.HostListing(since_s=now_s)
        if now_s - listing.listed_s >= LIST_PERIOD_S:
            listed = await self._client.list_hosts()
            if isinstance(listed, result.Success):
                listing = listing.with_list(listed.unwrap(), now_s)
        self._listing = listing
        return listing

    async def _states(
        self, value: shards.Shard
    ) -> dict[str, fleet_client.HostState]:
        changing_hosts = reconcile.hosts_in_transition(value)
        states = await asyncio.gather(
            *(self._state(host) for host in changing_hosts)
        )
        return {
            host.id: state.unwrap()
            for host, state in zip(changing_hosts, states, strict=True)
            if isinstance(state, result.Success)
        }

    async def _state(self, host: hosts.Host) -> fleet_client.HostStateResult:
        async with self._call_limit:
            return await self._client.state(host)

    async def _execute(
        self, plan: reconcile.Plan, value: shards.Shard, limits: budget.Limits
    ) -> PassResult:
        outcome = transitions.Outcome(value, (), ())
        if plan.changes:
            written = await self._shard_editor.apply_each(plan.changes, limits)
            if isinstance(written, result.Failure):
                return PassResult(value, written=False)
            outcome = written.unwrap()
        elif plan.calls:
            # Calls are made only if the value now in the store requires them.
            read = await self._shard_editor.read()
            if isinstance(read, result.Failure):
                return PassResult(value, written=False)
            outcome = transitions.Outcome(read.unwrap(), (), ())
        self._memory = plan.memory
        due = tuple(call for call in plan.calls if call.is_due(outcome.value))
        called = await asyncio.gather(
            *(self._call(call, outcome.value) for call in due)
        )
        return PassResult(
            value=outcome.value,
            written=True,
            applied=outcome.applied,
            refused=len(outcome.refused),
            called=tuple(call for call in called if call),
            overdue=plan.overdue,
        )

    async def _call(
        self, call: calls.Call, value: shards.Shard
    ) -> calls.Call | None:
        async with self._call_limit:
            # The process may have lost its lease while it was paused.
            if not self._is_leader():
                return None
            sent = await call.send(value.hosts_by_id[call.host], self._client)
        return call if isinstance(sent, result.Success) else None
