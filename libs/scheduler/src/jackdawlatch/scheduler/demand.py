"""Estimates how many machines each service could use now."""

import collections
import dataclasses
import math
from collections.abc import Iterable, Mapping

from jackdawlatch.jobs import model
from jackdawlatch.policy import arrivals, occupancy
from jackdawlatch.scheduler import lateness, round_times, shortages, tasks

# Tasks of different sizes leave part of a machine unused.
PACKING_FACTOR = 1.2


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
    """Return the demand of the open jobs."""
    in_time: list[tasks.JobState] = []
    late: list[tasks.JobState] = []
    for job in jobs:
        if not job.ended:
            (late if job_lateness.gives_way(job, now) else in_time).append(job)
    present = machines_by_service(in_time, machine, job_lateness)
    arriving = _arriving_by_service(in_time, machine, now.monotonic_s)
    return Demand(
        {
            service: max(number, arriving.get(service, 0))
            for service, number in present.items()
        },
        machines_by_service(late, machine, job_lateness),
        frozenset(_ready_services(in_time, now.wall_s)),
    )


def _ready_services(jobs: Iterable[tasks.JobState], wall_s: float) -> set[str]:
    ready: set[str] = set()
    for job in jobs:
        if not job.lasting and job.service not in ready:
            if tasks.waiting_steps(job, wall_s):
                ready.add(job.service)
    return ready


def machines_by_service(
    jobs: Iterable[tasks.JobState],
    machine: model.Room,
    job_lateness: lateness.Lateness,
) -> dict[str, int]:
    """Return how many machines of a size the open jobs would fill.

    Lasting tasks and gangs count with all their tasks, other jobs with what
    they need now and soon.
    """
    shares: dict[str, float] = collections.defaultdict(float)
    for job in jobs:
        if not job.ended:
            shares[job.service] += _machines(job, machine, job_lateness)
    return {
        service: math.ceil(share * PACKING_FACTOR)
        for service, share in shares.items()
    }


def _arriving_by_service(
    jobs: Iterable[tasks.JobState], machine: model.Room, now_s: float
) -> dict[str, int]:
    """Return how many machines the jobs fill that arrive as in the last time."""
    works_s: dict[str, list[float]] = collections.defaultdict(list)
    for job in jobs:
        if not job.lasting and now_s - job.accepted_s < arrivals.WINDOW_S:
            works_s[job.service].append(_machine_seconds(job.job, machine))
    return {
        service: math.ceil(arrivals.expected_machines(works) * PACKING_FACTOR)
        for service, works in works_s.items()
    }


def _machine_seconds(job: model.Job, machine: model.Room) -> float:
    """Return the work of one occurrence of a job."""
    return sum(
        step.count * share(step.reserved_room, machine) * step.estimate_s
        for step in job.steps
    )


def _machines(
    job: tasks.JobState, machine: model.Room, job_lateness: lateness.Lateness
) -> float:
    """Return how many machines the first open occurrence of a job needs."""
    steps = [
        occupancy.StepWork(
            open_count=state.step.count - state.done_count,
            share=share(state.step.reserved_room, machine),
            task_s=state.step.estimate_s,
            step_s=job_lateness.expected_s(state.step, job.job.queue),
            after=state.step.after,
        )
        for state in lateness.open_steps(job)
    ]
    if job.lasting or any(step.gang for step in job.job.steps):
        return occupancy.widest_machines(steps)
    return occupancy.needed_machines(steps)


def spread_by_service(jobs: Iterable[tasks.JobState]) -> dict[str, int]:
    """Return how many workers the widest spread of the open jobs needs."""
    needed: dict[str, int] = collections.defaultdict(int)
    for job in jobs:
        if not job.ended:
            for step in job.job.steps:
                if step.max_per_worker:
                    needed[job.service] = max(
                        needed[job.service], shortages.spread_count(step)
                    )
    return needed


def share(need: model.Room, machine: model.Room) -> float:
    """Return the share of a machine's capacity that is needed."""
    return max(
        need.processors_m / max(1, machine.processors_m),
        need.memory_mb / max(1, machine.memory_mb),
    )
