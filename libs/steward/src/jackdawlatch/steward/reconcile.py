"""Plans what a steward does next, as a pure function of what it knows."""

import dataclasses
from collections.abc import Mapping

from jackdawlatch.membership import (
    budget,
    shards,
    spare_transfers,
    spares,
    transitions,
    waves,
)
from jackdawlatch.model import hosts
from jackdawlatch.steward import (
    calls,
    fleet_client,
    host_listing,
    host_views,
    progress,
)


@dataclasses.dataclass(frozen=True)
class View:
    """All that a steward knows at the start of a pass."""

    value: shards.Shard
    limits: budget.Limits
    listing: host_listing.HostListing
    states_by_host: Mapping[str, fleet_client.HostState]
    now_s: float


@dataclasses.dataclass(frozen=True)
class Memory:
    """What a steward keeps between passes; losing it only causes delays."""

    timers: spare_transfers.Timers = dataclasses.field(
        default_factory=spare_transfers.Timers
    )
    reboot_requested_s_by_host: Mapping[str, float] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True)
class Plan:
    """Changes to write first, and calls to make once they are written."""

    changes: tuple[transitions.Transition, ...]
    calls: tuple[calls.Call, ...]
    overdue: tuple[host_views.OverdueDrain, ...]
    memory: Memory

    def is_settled(self, view: View) -> bool:
        """Return whether later plans for the same view would be empty too.

        If so, passes can be skipped until something other than time changes.
        """
        value = view.value
        timers = self.memory.timers
        unfinished = (
            self.changes,
            value.unknown_hosts,
            value.hosts_by_id.keys() - view.listing.hosts_by_id.keys(),
            [wave for wave in value.waves_by_id.values() if wave.remaining],
            timers.short_since_s_by_pool,
            timers.surplus_since_s_by_pool,
            hosts_in_transition(value),
        )
        return not any(unfinished)


def unchanged(before: View, after: View) -> bool:
    """Return whether two views differ in their time only.

    A listing that is not fresh counts as changed, because hosts become unknown
    as it ages.
    """
    return (
        before.value is after.value
        and before.limits == after.limits
        and before.listing.hosts_by_id == after.listing.hosts_by_id
        and after.listing.is_fresh(after.now_s)
    )


def reconcile(view: View, policy: spares.SparePolicy, memory: Memory) -> Plan:
    """Return the plan of one pass.

    Changes of the host list are applied first, and the rest is planned on the
    resulting value.  This takes time linear in the number of hosts.  Each
    transition is checked again when it is written.
    """
    listing_changes = tuple(
        host_listing.plan(view.value, view.listing, view.now_s)
    )
    value = view.value
    if listing_changes:
        value = transitions.apply_each(
            value, listing_changes, view.limits, view.now_s
        ).value
    snapshot = budget.take_snapshot(value, view.limits, view.now_s)
    steps = tuple(
        progress.plan(
            value,
            view.states_by_host,
            memory.reboot_requested_s_by_host,
            view.now_s,
        )
    )
    planner = spare_transfers.Planner(value, view.limits, snapshot, view.now_s)
    loan_plan = planner.plan(policy, memory.timers)
    changes = (
        *listing_changes,
        *(step for step in steps if isinstance(step, transitions.Transition)),
        *loan_plan.moves,
        *waves.plan(value, snapshot.counts, view.now_s),
    )
    due_calls = tuple(step for step in steps if isinstance(step, calls.Call))
    return Plan(
        changes=changes,
        calls=due_calls,
        overdue=tuple(
            step for step in steps if isinstance(step, host_views.OverdueDrain)
        ),
        memory=_next_memory(view, memory, due_calls, loan_plan.timers),
    )


def hosts_in_transition(value: shards.Shard) -> tuple[hosts.Host, ...]:
    """Return the hosts that are not active, whose own state a plan needs."""
    return tuple(
        value.hosts_by_id[host]
        for host, assignment in value.assignments_by_host.items()
        if assignment.phase is not hosts.Phase.ACTIVE
    )


def _next_memory(
    view: View,
    memory: Memory,
    due_calls: tuple[calls.Call, ...],
    timers: spare_transfers.Timers,
) -> Memory:
    reboots_under_way = {
        host: requested_s
        for host, requested_s in memory.reboot_requested_s_by_host.items()
        if host in view.value.assignments_by_host
        and view.value.assignments_by_host[host].phase is hosts.Phase.REBOOTING
    }
    requested_now = {
        call.host: view.now_s
        for call in due_calls
        if isinstance(call, calls.Reboot)
    }
    return Memory(timers, {**reboots_under_way, **requested_now})
