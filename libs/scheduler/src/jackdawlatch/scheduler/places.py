"""Capacity for the tasks that leave a worker."""

from collections.abc import Iterable

from jackdawlatch.scheduler import (
    late_starts,
    reservations,
    runs,
    spread,
    tasks,
    workers,
)


class Places:
    """The capacity that the tasks of leaving workers may be moved to.

    That of the tasks which are being stopped is taken already.
    """

    def __init__(
        self,
        known: Iterable[workers.Worker],
        leaving: Iterable[workers.Worker],
        now_s: float,
        bound: late_starts.LateStarts,
    ) -> None:
        moving = [
            run for worker in leaving for run in worker.runs_by_task.values()
        ]
        services = {run.task.job.service for run in moving}
        candidates: dict[str, list[workers.Worker]] = {}
        for worker in known:
            if worker.entry.service in services:
                candidates.setdefault(worker.entry.service, []).append(worker)
        self._reservations = reservations.Reservations(
            candidates, now_s, bound=bound
        )
        self._spread_by_step: dict[tasks.StepState, spread.Spread] = {}
        for run in moving:
            if run.phase is runs.RunPhase.STOPPING:
                self.take(run.task)

    def take(self, task: tasks.Task) -> bool:
        """Reserve capacity for a task; return whether there was any."""
        step_spread = self._spread(task.state)
        for worker in self._reservations.candidates(
            task.job.service, task.step, late=False
        ):
            admitted = self._reservations.late_starts.admits(
                task.id, worker.entry.id
            )
            if admitted and step_spread.admits(worker):
                step_spread.add(worker)
                self._reservations.reserve(worker, task.step.reserved_room)
                return True
        return False

    def _spread(self, state: tasks.StepState) -> spread.Spread:
        """Return where the tasks of a step are, or are to go."""
        if state not in self._spread_by_step:
            step_spread = spread.Spread(state.step.max_per_worker)
            step_spread.add_runs(state.tasks)
            self._spread_by_step[state] = step_spread
        return self._spread_by_step[state]
