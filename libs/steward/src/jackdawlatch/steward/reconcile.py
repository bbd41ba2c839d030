"""What a steward does next: a pure function of all that it knows."""

import dataclasses
from collections.abc import Mapping

from jackdawlatch.membership import (
    budget,
    loans,
    shards,
    spares,
    transitions,
    waves,
)
from jackdawlatch.model import hosts
from jackdawlatch.steward import backends, calls, progress, work
from jackdawlatch.steward import sightings as sighted


@dataclasses.dataclass(frozen=True)
class View:
    """All that a steward knows at one moment."""

    value: shards.Shard
    limits: budget.Limits
    sightings: sighted.Sightings
    states_by_host: Mapping[str, backends.HostState]
    now_s: float


@dataclasses.dataclass(frozen=True)
class Memory:
    """What a steward keeps from pass to pass; losing it only delays."""

    timers: loans.Timers = dataclasses.field(default_factory=loans.Timers)
    rebooted_s_by_host: Mapping[str, float] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True)
class Plan:
    """Changes to write first, and calls to make once they are written."""

    made: tuple[transitions.Transition, ...]
    calls: tuple[calls.Call, ...]
    overdue: tuple[work.Overdue, ...]
    memory: Memory

    def waits_for_nothing(self, view: View) -> bool:
        """Return whether time alone changes nothing about this plan."""
        value = view.value
        timers = self.memory.timers
        waits = (
            self.made,
            value.unknown_hosts,
            value.hosts_by_id.keys() - view.sightings.hosts_by_id.keys(),
            [wave for wave in value.waves_by_id.values() if wave.remaining],
            timers.short_since_s_by_pool,
            timers.surplus_since_s_by_pool,
            in_work(value),
        )
        return not any(waits)


def same(before: View, after: View) -> bool:
    """Return whether nothing but time has passed between two views."""
    return (
        before.value is after.value
        and before.limits == after.limits
        and before.sightings.hosts_by_id == after.sightings.hosts_by_id
        and after.sightings.fresh(after.now_s)
    )


def reconcile(view: View, policy: spares.SparePolicy, memory: Memory) -> Plan:
    """Return the plan of one pass.

    It is made on one value, with what the list says taken over first, and
    takes time linear in the number of hosts.
    Each transition is judged again when it is written.
    """
    seen = tuple(sighted.plan(view.value, view.sightings, view.now_s))
    value = view.value
    if seen:
        value = transitions.make_each(
            value, seen, view.limits, view.now_s
        ).value
    surveyed = budget.survey(value, view.limits, view.now_s)
    steps = tuple(
        progress.plan(
            value, view.states_by_host, memory.rebooted_s_by_host, view.now_s
        )
    )
    planner = loans.Planner(value, view.limits, surveyed, view.now_s)
    lent = planner.plan(policy, memory.timers)
    made = (
        *seen,
        *(step for step in steps if isinstance(step, transitions.Transition)),
        *lent.made,
        *waves.plan(value, surveyed.counts, view.now_s),
    )
    asked = tuple(step for step in steps if isinstance(step, calls.Call))
    return Plan(
        made=made,
        calls=asked,
        overdue=tuple(step for step in steps if isinstance(step, work.Overdue)),
        memory=_remembered(view, memory, asked, lent.timers),
    )


def in_work(value: shards.Shard) -> tuple[hosts.Host, ...]:
    """Return the hosts whose own state a plan depends on."""
    return tuple(
        value.hosts_by_id[host]
        for host, assignment in value.assignments_by_host.items()
        if assignment.phase is not hosts.Phase.ACTIVE
    )


def _remembered(
    view: View,
    memory: Memory,
    asked: tuple[calls.Call, ...],
    timers: loans.Timers,
) -> Memory:
    rebooting = {
        host: asked_s
        for host, asked_s in memory.rebooted_s_by_host.items()
        if host in view.value.assignments_by_host
        and view.value.assignments_by_host[host].phase is hosts.Phase.REBOOTING
    }
    now = {
        call.host: view.now_s
        for call in asked
        if isinstance(call, calls.Reboot)
    }
    return Memory(timers, {**rebooting, **now})
