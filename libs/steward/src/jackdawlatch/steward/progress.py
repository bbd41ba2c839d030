"""Plans how draining, rebooting and joining hosts reach their next phase.

All decisions follow from the stored value and the state that the host itself
reports, so that another steward can continue at any point.
"""

import types
from collections.abc import Callable, Iterator, Mapping

from jackdawlatch.membership import phases, shards, transitions
from jackdawlatch.model import hosts
from jackdawlatch.steward import calls, fleet_client, host_views

# A drain that lasts longer is reported as overdue; a move without a reboot then
# goes on although requests are still in flight.
MAX_DRAIN_S = 600
# No request lasts longer, so a host that does not answer has none in flight
# after this time.
MAX_SILENCE_S = 3600
# Workers report their tasks with a lag, so a task that started just before the
# drain is reported only this much later.
USAGE_LAG_S = 3
# A reboot that has not begun this long after it was requested is requested
# again.
REBOOT_RETRY_S = 60

RebootTimes = Mapping[str, float]


Step = transitions.Transition | calls.Call | host_views.OverdueDrain


def plan(
    value: shards.Shard,
    states_by_host: Mapping[str, fleet_client.HostState],
    reboot_requested_s_by_host: RebootTimes,
    now_s: float,
) -> Iterator[Step]:
    """Yield the next step of each host that is not active.

    Hosts without a step due are left out.  ``reboot_requested_s_by_host``
    holds when this steward last requested a reboot.
    """
    for host, assignment in value.assignments_by_host.items():
        step_of = _STEPS_BY_PHASE.get(assignment.phase)
        if step_of is None:
            continue
        step = step_of(
            host_views.HostView(
                host=value.hosts_by_id[host],
                assignment=assignment,
                state=states_by_host.get(host),
                reboot_requested_s=reboot_requested_s_by_host.get(host),
                now_s=now_s,
            )
        )
        if step is not None:
            yield step


def _draining(view: host_views.HostView) -> Step | None:
    if _drain_is_complete(view):
        return _advance(view)
    if view.state is None:
        return _overdue(view, 'an answer')
    if not view.state.leaving:
        return _call(calls.Drain, view)
    requests, tasks = view.state.in_use, view.state.tasks
    return _overdue(view, f'{requests} requests and {tasks} tasks')


def _drain_is_complete(view: host_views.HostView) -> bool:
    if view.host.liveness is hosts.Liveness.DEAD:
        return True
    if view.state is None:
        return view.age_s > MAX_SILENCE_S
    if not view.state.leaving:
        return False
    if view.assignment.wave:
        return view.state.idle and view.age_s > USAGE_LAG_S
    # A move without a reboot interrupts no requests or tasks, so running tasks
    # do not delay it, nor do requests beyond the time limit.
    return not view.state.in_use or view.age_s > MAX_DRAIN_S


def _rebooting(view: host_views.HostView) -> Step | None:
    if view.state is None:
        reboot_is_late = view.age_s > shards.MAX_REBOOT_S
        return _reboot(view, shards.MAX_REBOOT_S) if reboot_is_late else None
    # A reboot clears the draining state, so a host that still reports it has
    # not been rebooted yet.
    if view.state.leaving:
        if view.state.idle:
            return _reboot(view, REBOOT_RETRY_S)
        return _overdue(view, 'requests that came after the drain')
    return _advance(view) if view.live else None


def _joining(view: host_views.HostView) -> Step | None:
    if view.state is None:
        return None
    if view.state.leaving:
        return _call(calls.Resume, view)
    return _advance(view) if view.live else None


_STEPS_BY_PHASE: Mapping[
    hosts.Phase, Callable[[host_views.HostView], Step | None]
] = types.MappingProxyType(
    {
        hosts.Phase.DRAINING: _draining,
        hosts.Phase.REBOOTING: _rebooting,
        hosts.Phase.JOINING: _joining,
    }
)


def _advance(view: host_views.HostView) -> Step:
    assignment = view.assignment
    return phases.Advance(view.host.id, assignment.phase, assignment.since_s)


def _call(call_type: type[calls.Call], view: host_views.HostView) -> Step:
    assignment = view.assignment
    return call_type(view.host.id, assignment.phase, assignment.since_s)


def _reboot(view: host_views.HostView, retry_s: float) -> Step | None:
    requested_s = view.reboot_requested_s
    if requested_s is not None and view.now_s - requested_s < retry_s:
        return None
    return _call(calls.Reboot, view)


def _overdue(view: host_views.HostView, waits_for: str) -> Step | None:
    if view.age_s > MAX_DRAIN_S:
        return host_views.OverdueDrain(view.host.id, waits_for)
    return None
