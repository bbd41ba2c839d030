"""Gauges of the configuration in force, and of what each team holds."""

import collections
from collections.abc import Callable, Iterable, Mapping

from jackdawlatch.jobs import intake, refusals
from jackdawlatch.scheduler import leader, team_usage
from jackdawlatch.telemetry import meters

NO_TEAM = 'none'

Read = Callable[[team_usage.Usage], Mapping[str, float]]


def register(
    instruments: meters.Meters,
    job_intake: intake.Intake,
    get_leader: Callable[[], leader.Leader | None],
) -> None:
    """Register the gauges of a daemon; those of teams are the leader's only."""
    instruments.gauge(
        'configuration_version', lambda: job_intake.catalog.version
    )
    labels = meters.BoundedLabels(refusals.MAX_TEAMS)

    def register_by_team(name: str, read: Read) -> None:
        def samples() -> Iterable[meters.Sample]:
            current = get_leader()
            usages = team_usage.by_team(current.cluster) if current else ()
            return _samples(usages, labels, read)

        instruments.labelled_gauge(name, samples)

    register_by_team('team_held', team_usage.held)
    register_by_team('team_limit', team_usage.limit)
    register_by_team('team_waiting_tasks', team_usage.waiting)


def _samples(
    usages: Iterable[team_usage.Usage],
    labels: meters.BoundedLabels,
    read: Read,
) -> Iterable[meters.Sample]:
    """Return the sums of the teams with one label."""
    sums: dict[tuple[str, str], float] = collections.defaultdict(float)
    for usage in usages:
        team = labels.label(usage.team or NO_TEAM)
        for resource, more in read(usage).items():
            sums[team, resource] += more
    return [
        (amount, {'team': key[0], 'resource': key[1]})
        for key, amount in sums.items()
    ]
