"""Decides which waiting tasks start now, and where."""

import dataclasses
from collections.abc import Collection, Iterable, Iterator, Mapping

from jackdawlatch.scheduler import (
    advisor,
    job_order,
    lateness,
    placing,
    reservations,
    round_times,
    tasks,
    workers,
)


@dataclasses.dataclass(frozen=True)
class Plan:
    """The placements of a round, and the ready steps with tasks left over.

    ``deferred`` holds the steps that were not considered, ``unplaced`` those
    for which no worker was found, ``unfit`` those that no worker had capacity
    for.
    """

    placements: list[placing.Placement]
    deferred: list[tasks.StepState]
    unplaced: list[placing.StepPlacer]
    reserved: reservations.Reservations
    unfit: list[tasks.StepState] = dataclasses.field(default_factory=list)

    def take_unfit(
        self, job: tasks.JobState, steps: Iterable[tasks.StepState]
    ) -> list[tasks.StepState]:
        """Set the steps aside that cannot fit; return the others."""
        fitting = []
        for state in steps:
            # Tickets are requested ahead of free capacity.
            if _is_advised(job) or self.reserved.may_fit(
                job.service, state.step
            ):
                fitting.append(state)
            else:
                self.unfit.append(state)
        return fitting

    def waits(self) -> Iterator[placing.Wait]:
        """Return why each step still waits."""
        for state in self.deferred:
            yield dataclasses.replace(
                placing.StepPlacer(state, self.reserved, None).wait(),
                reason=placing.WaitReason.DEFERRED,
            )
        for placer in self.unplaced:
            yield placer.wait()
        for state in self.unfit:
            yield placing.StepPlacer(state, self.reserved, None).wait()


class Planner:
    """Places ready tasks on the workers of their services."""

    def __init__(
        self,
        order: job_order.Order,
        job_lateness: lateness.Lateness,
        step_advisor: advisor.Advisor,
    ) -> None:
        self._order = order
        self._lateness = job_lateness
        self._advisor = step_advisor

    def plan(
        self,
        jobs: Iterable[tasks.JobState],
        candidates_by_service: Mapping[str, list[workers.Worker]],
        now: round_times.RoundTime,
        donors: Collection[str] = (),
    ) -> Plan:
        """Return the placements of this round; no state is changed.

        Late jobs of the services in ``donors`` wait, so that their machines
        become free for jobs of other services that can still be in time.
        """
        free = reservations.Reservations(candidates_by_service, now.monotonic_s)
        plan = Plan([], [], [], free)
        fitting = []
        for job in jobs:
            steps = [] if job.ended else _waiting_steps(job, now.wall_s)
            if steps and self._is_deferred(job, now, donors):
                plan.deferred.extend(steps)
                continue
            steps = plan.take_unfit(job, steps)
            if steps:
                fitting.append((job, steps))
        # Orders only what may fit: under overload most jobs do not.
        fitting.sort(key=lambda pair: self._order.key(pair[0], now))
        for _, ready in fitting:
            self._place(ready, plan)
        return plan

    def _place(self, steps: Iterable[tasks.StepState], plan: Plan) -> None:
        for state in steps:
            placer = placing.StepPlacer(
                state, plan.reserved, self._tickets(state)
            )
            placed = placer.place()
            plan.placements.extend(placed)
            if len(placed) < state.waiting_count():
                plan.unplaced.append(placer)

    def _tickets(self, state: tasks.StepState) -> advisor.Tickets | None:
        if not _is_advised(state.tasks[0].job):
            return None
        return self._advisor.tickets(state)

    def _is_deferred(
        self,
        job: tasks.JobState,
        now: round_times.RoundTime,
        donors: Collection[str],
    ) -> bool:
        return job.service in donors and self._lateness.is_late(job, now)


def _is_advised(job: tasks.JobState) -> bool:
    return job.queue is not None and job.queue.advised


def _waiting_steps(job: tasks.JobState, wall_s: float) -> list[tasks.StepState]:
    return [state for state in job.ready_steps(wall_s) if state.waiting_count()]
