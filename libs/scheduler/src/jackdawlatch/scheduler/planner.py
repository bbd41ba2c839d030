"""Decides which waiting tasks start now, and where."""

from collections.abc import Collection, Iterable, Mapping

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
    ) -> list[placing.Placement]:
        """Return the placements of this round; no state is changed.

        Late jobs of the services in ``donors`` wait, so that their machines
        become free for jobs of other services that can still be in time.
        """
        waiting = [
            (job, steps)
            for job in jobs
            if not job.ended and not self._is_deferred(job, now, donors)
            for steps in (_waiting_steps(job, now.wall_s),)
            if steps
        ]
        waiting.sort(key=lambda pair: self._order.key(pair[0], now))
        free = reservations.Reservations(candidates_by_service, now.monotonic_s)
        placements: list[placing.Placement] = []
        for job, steps in waiting:
            for state in steps:
                tickets = None
                if job.queue and job.queue.advised:
                    tickets = self._advisor.tickets(state)
                placer = placing.StepPlacer(state, free, tickets)
                placements.extend(placer.place())
        return placements

    def _is_deferred(
        self,
        job: tasks.JobState,
        now: round_times.RoundTime,
        donors: Collection[str],
    ) -> bool:
        return job.service in donors and self._lateness.is_late(job, now)


def _waiting_steps(job: tasks.JobState, wall_s: float) -> list[tasks.StepState]:
    return [
        state
        for state in job.ready_steps(wall_s)
        if any(task.phase is tasks.TaskPhase.WAITING for task in state.tasks)
    ]
