"""How hosts on which work is under way get to their next phase.

Everything is decided from the stored value and from what the host itself
answers, so that another steward can go on at any point.
"""

import types
from collections.abc import Callable, Iterator, Mapping

from jackdawlatch.membership import phases, shards, transitions
from jackdawlatch.model import hosts
from jackdawlatch.steward import backends, calls, work

# A drain that lasts longer is reported; a move goes on without its end.
DRAIN_BOUND_S = 600
# No request lives longer, so a silent host has none in flight after it.
SILENT_BOUND_S = 3600
# Workers report their tasks with a lag: one that was started just before the
# drain shows only after it.
USAGE_LAG_S = 3
# How long a reboot that was accepted may take to begin.
REBOOT_RETRY_S = 60

Since = Mapping[str, float]


Step = transitions.Transition | calls.Call | work.Overdue


def plan(
    value: shards.Shard,
    states_by_host: Mapping[str, backends.HostState],
    rebooted_s_by_host: Since,
    now_s: float,
) -> Iterator[Step]:
    """Yield what the hosts on which work is under way need next."""
    for host, assignment in value.assignments_by_host.items():
        step_of = _STEPS_BY_PHASE.get(assignment.phase)
        if step_of is None:
            continue
        step = step_of(
            work.Seen(
                host=value.hosts_by_id[host],
                assignment=assignment,
                state=states_by_host.get(host),
                rebooted_s=rebooted_s_by_host.get(host),
                now_s=now_s,
            )
        )
        if step is not None:
            yield step


def _draining(seen: work.Seen) -> Step | None:
    if _drain_is_over(seen):
        return _advance(seen)
    if seen.state is None:
        return _overdue(seen, 'an answer')
    if not seen.state.leaving:
        return _call(calls.Drain, seen)
    requests, tasks = seen.state.in_use, seen.state.tasks
    return _overdue(seen, f'{requests} requests and {tasks} tasks')


def _drain_is_over(seen: work.Seen) -> bool:
    if seen.host.liveness is hosts.Liveness.DEAD:
        return True
    if seen.state is None:
        return seen.age_s > SILENT_BOUND_S
    if not seen.state.leaving:
        return False
    if seen.assignment.wave:
        return seen.state.idle and seen.age_s > USAGE_LAG_S
    # A move without a reboot cuts no request, and ends no task.
    return not seen.state.in_use or seen.age_s > DRAIN_BOUND_S


def _rebooting(seen: work.Seen) -> Step | None:
    if seen.state is None:
        late = seen.age_s > shards.REBOOT_BOUND_S
        return _reboot(seen, shards.REBOOT_BOUND_S) if late else None
    # The host drained before its reboot and has forgotten that after it.
    if seen.state.leaving:
        if seen.state.idle:
            return _reboot(seen, REBOOT_RETRY_S)
        return _overdue(seen, 'requests that came after the drain')
    return _advance(seen) if seen.live else None


def _joining(seen: work.Seen) -> Step | None:
    if seen.state is None:
        return None
    if seen.state.leaving:
        return _call(calls.Resume, seen)
    return _advance(seen) if seen.live else None


_STEPS_BY_PHASE: Mapping[hosts.Phase, Callable[[work.Seen], Step | None]] = (
    types.MappingProxyType(
        {
            hosts.Phase.DRAINING: _draining,
            hosts.Phase.REBOOTING: _rebooting,
            hosts.Phase.JOINING: _joining,
        }
    )
)


def _advance(seen: work.Seen) -> Step:
    assignment = seen.assignment
    return phases.Advance(seen.host.id, assignment.phase, assignment.since_s)


def _call(call_type: type[calls.Call], seen: work.Seen) -> Step:
    assignment = seen.assignment
    return call_type(seen.host.id, assignment.phase, assignment.since_s)


def _reboot(seen: work.Seen, retry_s: float) -> Step | None:
    asked_s = seen.rebooted_s
    if asked_s is not None and seen.now_s - asked_s < retry_s:
        return None
    return _call(calls.Reboot, seen)


def _overdue(seen: work.Seen, waits_for: str) -> Step | None:
    if seen.age_s > DRAIN_BOUND_S:
        return work.Overdue(seen.host.id, waits_for)
    return None
