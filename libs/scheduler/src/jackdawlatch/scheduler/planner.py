"""Decides which waiting tasks start now, and where."""

from collections.abc import Collection, Iterable, Mapping

from jackdawlatch.scheduler import (
    advisor,
    job_order,
    placing,
    rooms,
    tasks,
    workers,
)


class Planner:
    """Places ready tasks on the workers of their services."""

    def __init__(self, order: job_order.Order, advice: advisor.Advisor) -> None:
        self._order = order
        self._advisor = advice

    def plan(
        self,
        jobs: Iterable[tasks.JobState],
        candidates_by_service: Mapping[str, list[workers.Worker]],
        moment: job_order.Moment,
        lending: Collection[str] = (),
    ) -> list[placing.Placement]:
        """Return what starts now; the callers' state is not changed.

        Late jobs of the services in ``lending`` wait, so that machines get
        free for jobs of other services that can still be in time.
        """
        waiting = [
            (job, steps)
            for job in jobs
            if not job.ended and not _yields(job, moment.wall_s, lending)
            for steps in (_waiting_steps(job, moment.wall_s),)
            if steps
        ]
        waiting.sort(key=lambda pair: self._order.key(pair[0], moment))
        room = rooms.Rooms(candidates_by_service, moment.steady_s)
        placements: list[placing.Placement] = []
        for job, steps in waiting:
            for state in steps:
                tickets = None
                if job.queue and job.queue.advised:
                    tickets = self._advisor.tickets(state)
                placer = placing.StepPlacer(state, room, tickets)
                placements.extend(placer.place())
        return placements


def _yields(
    job: tasks.JobState, wall_s: float, lending: Collection[str]
) -> bool:
    return job.service in lending and job_order.is_late(job, wall_s)


def _waiting_steps(job: tasks.JobState, wall_s: float) -> list[tasks.StepState]:
    return [
        state
        for state in job.ready_steps(wall_s)
        if any(task.phase is tasks.TaskPhase.WAITING for task in state.tasks)
    ]
