"""Estimates how many machines each service could use now."""

import collections
import dataclasses
import math
from collections.abc import Iterable, Mapping

from jackdawlatch.jobs import load_sightings, model
from jackdawlatch.policy import arrivals, occupancy, quotas
from jackdawlatch.scheduler import (
    known_needs,
    lateness,
    round_times,
    shortages,
    tasks,
    team_accounts,
)

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
    known: known_needs.KnownNeeds | None = None,
) -> Demand:
    """Return the demand of the open jobs, as far as quotas let them start.

    ``known`` is what they needed before.
    """
    in_time: list[tasks.JobState] = []
    late: list[tasks.JobState] = []
    for job in jobs:
        if not job.ended:
            (late if job_lateness.gives_way(job, now) else in_time).append(job)
    needs = Needs(machine, job_lateness, known or known_needs.KnownNeeds())
    present = machines_by_service(in_time, needs)
    arriving = _arriving_by_service(in_time, machine, now.monotonic_s)
    return Demand(
        {
            service: max(number, arriving.get(service, 0))
            for service, number in present.items()
        },
        machines_by_service(late, needs),
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


@dataclasses.dataclass(frozen=True)
class Needs:
    """Finds out how many machines of a size a job needs.

    ``allowances`` are what the quotas of the teams leave; what a job needs
    beyond its runs is reserved there.
    """

    machine: model.Room
    job_lateness: lateness.Lateness
    known: known_needs.KnownNeeds = dataclasses.field(
        default_factory=known_needs.KnownNeeds
    )
    allowances: team_accounts.Allowances = dataclasses.field(
        default_factory=team_accounts.Allowances
    )

    def machines(self, job: tasks.JobState) -> float:
        """Return how many machines the first open occurrence needs."""
        account = job.claim.account
        if account.limit != quotas.UNLIMITED:
            return self._count(job)
        # Without a quota only what is done changes what a job needs.
        ratio = self.job_lateness.duration_ratio(job.job.queue)
        return self.known.machines(job, (self.machine, ratio), self._count)

    def _count(self, job: tasks.JobState) -> float:
        states = lateness.open_steps(job)
        steps: list[occupancy.StepWork] = []
        for state in states:
            # A quota may have no room for the tasks that it waits for.
            blocked = any(
                not states[position].done and not steps[position].open_count
                for position in state.step.after
            )
            steps.append(self._step_work(state, job.job.queue, blocked))
        for state in states:
            if all(states[position].done for position in state.step.after):
                self._reserve(state)
        if job.lasting or any(step.gang for step in job.job.steps):
            return occupancy.widest_machines(steps)
        return occupancy.needed_machines(steps)

    def _step_work(
        self, state: tasks.StepState, queue: str, blocked: bool
    ) -> occupancy.StepWork:
        startable = 0 if blocked else self.allowances.startable_count(state)
        return occupancy.StepWork(
            open_count=startable + _placed_count(state),
            share=share(state.step.reserved_room, self.machine),
            task_s=state.step.estimate_s,
            step_s=self.job_lateness.expected_s(state.step, queue),
            after=state.step.after,
        )

    def _reserve(self, state: tasks.StepState) -> None:
        startable = self.allowances.startable_count(state)
        job = state.tasks[0].job
        self.allowances.reserve(
            job.claim.account, state.step.room.times(startable)
        )


def machines_by_service(
    jobs: Iterable[tasks.JobState], needs: Needs
) -> dict[str, int]:
    """Return how many machines of a size the open jobs would fill.

    Lasting tasks and gangs count with all their tasks, other jobs with what
    they need now and soon.
    """
    shares: dict[str, float] = collections.defaultdict(float)
    for job in jobs:
        if not job.ended:
            shares[job.service] += needs.machines(job)
    return {
        service: math.ceil(share * PACKING_FACTOR)
        for service, share in shares.items()
    }


def _arriving_by_service(
    jobs: Iterable[tasks.JobState], machine: model.Room, now_s: float
) -> dict[str, int]:
    """Return how many machines jobs fill that keep arriving at this rate."""
    works_s: dict[str, list[float]] = collections.defaultdict(list)
    for job in jobs:
        if not job.lasting and now_s - job.accepted_s < arrivals.WINDOW_S:
            works_s[job.service].append(_machine_seconds(job.job, machine))
    return {
        service: math.ceil(arrivals.expected_machines(works) * PACKING_FACTOR)
        for service, works in works_s.items()
    }


def _machine_seconds(job: model.Job, machine: model.Room) -> float:
    """Return the machine-seconds of one occurrence in the near future."""
    work_s = sum(
        step.count * share(step.reserved_room, machine) * step.estimate_s
        for step in job.steps
    )
    return arrivals.near_work_s(work_s, load_sightings.estimated_chain_s(job))


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
