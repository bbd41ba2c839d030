"""Estimates how many machines each service could use now."""

import collections
import dataclasses
import math
from collections.abc import Iterable, Mapping

from jackdawlatch.jobs import model
from jackdawlatch.scheduler import (
    lateness,
    round_times,
    shortages,
    tasks,
    team_accounts,
)

# Tasks of different sizes leave part of a machine unused.
PACKING_FACTOR = 1.3


@dataclasses.dataclass(frozen=True)
class Demand:
    """Machines by service that jobs in time, and late ones, would fill.

    ``ready_in_time`` holds the services with a job in time that ends and has
    tasks that could start now.
    """

    in_time: Mapping[str, int]
    late: Mapping[str, int]
    ready_in_time: frozenset[str] = frozenset()


def by_lateness(
    jobs: Iterable[tasks.JobState],
    now: round_times.RoundTime,
    job_lateness: lateness.Lateness,
    machine: model.Room,
) -> Demand:
    """Return the demand of the open jobs, as far as quotas let them start."""
    in_time: list[tasks.JobState] = []
    late: list[tasks.JobState] = []
    for job in jobs:
        if not job.ended:
            (late if job_lateness.gives_way(job, now) else in_time).append(job)
    allowances = team_accounts.Allowances()
    return Demand(
        machines_by_service(in_time, machine, allowances),
        machines_by_service(late, machine, allowances),
        frozenset(_ready_services(in_time, now.wall_s)),
    )


def _ready_services(jobs: Iterable[tasks.JobState], wall_s: float) -> set[str]:
    ready: set[str] = set()
    allowances = team_accounts.Allowances()
    for job in jobs:
        if not job.lasting and job.service not in ready:
            waiting = tasks.waiting_steps(job, wall_s)
            if any(map(allowances.startable_count, waiting)):
                ready.add(job.service)
    return ready


def machines_by_service(
    jobs: Iterable[tasks.JobState],
    machine: model.Room,
    allowances: team_accounts.Allowances | None = None,
) -> dict[str, int]:
    """Return how many machines of a size the open jobs would fill.

    Each job counts with the largest remaining demand of its steps, since the
    steps that wait for others will need capacity next.
    """
    allowances = allowances or team_accounts.Allowances()
    shares: dict[str, float] = collections.defaultdict(float)
    for job in jobs:
        if not job.ended:
            shares[job.service] += _largest_share(job, machine, allowances)
    return {
        service: math.ceil(share * PACKING_FACTOR)
        for service, share in shares.items()
    }


def _largest_share(
    job: tasks.JobState,
    machine: model.Room,
    allowances: team_accounts.Allowances,
) -> float:
    """Return the share of machines that a job needs; reserve it of its quota."""
    largest: float = 0
    reserved = model.Room()
    for state in job.steps:
        if not state.done:
            startable = allowances.startable_count(state)
            used = startable + _placed_count(state)
            needed = used * share(state.step.reserved_room, machine)
            if needed > largest:
                largest = needed
                reserved = state.step.room.times(startable)
    allowances.reserve(job.claim.account, reserved)
    return largest


def _placed_count(state: tasks.StepState) -> int:
    return state.step.count - state.done_count - state.waiting_count


def spread_by_service(jobs: Iterable[tasks.JobState]) -> dict[str, int]:
    """Return how many workers the widest spread of the open jobs needs."""
    needed: dict[str, int] = collections.defaultdict(int)
    allowances = team_accounts.Allowances()
    for job in jobs:
        if not job.ended:
            for state in job.steps:
                if state.step.max_per_worker:
                    kept = _placed_count(state) + state.done_count
                    kept += allowances.startable_count(state)
                    needed[job.service] = max(
                        needed[job.service],
                        shortages.spread_count(state.step, kept),
                    )
    return needed


def share(need: model.Room, machine: model.Room) -> float:
    """Return the share of a machine's capacity that is needed."""
    return max(
        need.processors_m / max(1, machine.processors_m),
        need.memory_mb / max(1, machine.memory_mb),
    )


def divide(open_demand: Demand, machines: int) -> dict[str, int]:
    """Divide machines among services, each gets at most its demand.

    Demand of jobs that can still meet their objective is served first, in
    proportion; the rest goes to the demand of late jobs.
    """
    first = _scaled(open_demand.in_time, machines)
    rest = _scaled(open_demand.late, max(0, machines - sum(first.values())))
    return {
        service: first.get(service, 0) + rest.get(service, 0)
        for service in (*first, *rest)
    }


def _scaled(demand: Mapping[str, int], machines: int) -> dict[str, int]:
    total = sum(demand.values())
    scale = min(1, machines / total) if total else 1
    return {
        service: math.ceil(number * scale) for service, number in demand.items()
    }
