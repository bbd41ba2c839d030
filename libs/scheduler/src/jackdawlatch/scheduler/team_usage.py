"""What each team holds, may hold, and waits for."""

import dataclasses
import itertools
import math
from collections.abc import Mapping, Sequence

from jackdawlatch.jobs import model
from jackdawlatch.policy import quotas
from jackdawlatch.scheduler import cluster_state, tasks


@dataclasses.dataclass(frozen=True)
class Usage:
    """The capacity of one team; ``limit`` is None while it is not known."""

    team: str
    held: model.Room
    limit: quotas.Resources | None
    waiting_count: int


def by_team(cluster: cluster_state.ClusterState) -> list[Usage]:
    """Return the usage of each team with jobs, also ended ones."""
    wall_s = cluster.dependencies.clock.wall_s()
    jobs_by_team: dict[str, list[tasks.JobState]] = {}
    for job in cluster.jobs_by_id.values():
        jobs_by_team.setdefault(job.job.team, []).append(job)
    return [_usage(team, jobs, wall_s) for team, jobs in jobs_by_team.items()]


def held(usage: Usage) -> Mapping[str, float]:
    """Return what the runs of a team hold, by resource."""
    return {
        'processors_m': usage.held.processors_m,
        'memory_mb': usage.held.memory_mb,
        'accelerators': usage.held.accelerators,
    }


def limit(usage: Usage) -> Mapping[str, float]:
    """Return the limits of a team by resource; there may be none."""
    limits = usage.limit._asdict() if usage.limit else {}
    return {
        resource: most for resource, most in limits.items() if most < math.inf
    }


def waiting(usage: Usage) -> Mapping[str, float]:
    """Return how many tasks of a team could start if there were room."""
    return {'tasks': usage.waiting_count}


def _usage(team: str, jobs: Sequence[tasks.JobState], wall_s: float) -> Usage:
    account = jobs[0].claim.account
    states = itertools.chain.from_iterable(
        tasks.waiting_steps(job, wall_s) for job in jobs if not job.ended
    )
    waiting_count = sum(state.waiting_count for state in states)
    return Usage(team, account.held, account.limit, waiting_count)
