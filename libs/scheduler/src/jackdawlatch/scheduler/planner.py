"""Decides which waiting tasks start now, and where."""

import dataclasses
from collections.abc import Collection, Iterable, Mapping

from jackdawlatch.scheduler import (
    advisor,
    job_order,
    late_starts,
    lateness,
    placements,
    placing,
    reservations,
    round_times,
    tasks,
    workers,
)


@dataclasses.dataclass(frozen=True)
class Plan:
    """The placements of a round.

    ``unplaced`` holds the steps with ready tasks for which there was no worker.
    """

    placements: list[placements.Placement]
    unplaced: list[placing.StepPlacer]

    def place(self, placers: Iterable[placing.StepPlacer]) -> None:
        """Place the waiting tasks of some steps."""
        for placer in placers:
            placed = placer.place()
            self.placements.extend(placed)
            if len(placed) < placer.state.waiting_count:
                self.unplaced.append(placer)


@dataclasses.dataclass(frozen=True)
class _Ready:
    """A job with the placers of its ready steps."""

    job: tasks.JobState
    placers: list[placing.StepPlacer]


class Planner:
    """Places ready tasks on the workers of their services."""

    def __init__(
        self,
        order: job_order.Order,
        job_lateness: lateness.Lateness,
        step_advisor: advisor.Advisor,
        bound: late_starts.LateStarts | None = None,
    ) -> None:
        self._order = order
        self._lateness = job_lateness
        self._advisor = step_advisor
        self._late_starts = bound

    def plan(
        self,
        jobs: Iterable[tasks.JobState],
        candidates_by_service: Mapping[str, list[workers.Worker]],
        now: round_times.RoundTime,
        withheld: Collection[str] = (),
    ) -> Plan:
        """Return the placements of this round; no state is changed.

        Late jobs get none of the ``withheld`` machines, which become free for
        other services with jobs that can still be in time.
        """
        free = reservations.Reservations(
            candidates_by_service,
            now.monotonic_s,
            withheld,
            self._late_starts,
        )
        plan = Plan([], [])
        fitting = []
        for job in jobs:
            ready = _Ready(job, [])
            for placer in self._placers(job, now, free):
                chosen = ready.placers if placer.may_fit else plan.unplaced
                chosen.append(placer)
            if ready.placers:
                fitting.append(ready)
        # Orders only what may fit: under overload most jobs do not.
        fitting.sort(key=lambda ready: self._order.key(ready.job, now))
        for ready in fitting:
            if free.slow_workers:
                self._avoid_slow_workers(ready, now)
            plan.place(ready.placers)
        return plan

    def _avoid_slow_workers(
        self, ready: _Ready, now: round_times.RoundTime
    ) -> None:
        """Keep a job off slow workers if it can still be in time.

        A late one takes any, so that it leaves the others to jobs in time.
        """
        in_time = not self._lateness.is_late(ready.job, now)
        for placer in ready.placers:
            placer.avoids_slow = in_time

    def _placers(
        self,
        job: tasks.JobState,
        now: round_times.RoundTime,
        free: reservations.Reservations,
    ) -> list[placing.StepPlacer]:
        """Return a placer for each step with waiting tasks."""
        waiting = [] if job.ended else tasks.waiting_steps(job, now.wall_s)
        late = (
            bool(waiting)
            and free.withholds(job.service)
            and self._lateness.gives_way(job, now)
        )
        advised = job.queue is not None and job.queue.advised
        step_advisor = self._advisor if advised else None
        return [
            placing.StepPlacer(state, free, step_advisor, late)
            for state in waiting
        ]
