"""Starts of runs that wait until their placements are persisted."""

import dataclasses
from collections.abc import Iterable

from jackdawlatch.jobs import stored
from jackdawlatch.scheduler import cluster_state, fences, placements, runs


@dataclasses.dataclass(frozen=True)
class StartOrder:
    """A run whose placement is being persisted, and the ticket of its start."""

    run: runs.Run
    ticket: str


def create(
    cluster: cluster_state.ClusterState, placement: placements.Placement
) -> StartOrder:
    """Assign a task to its worker; return the order to start it."""
    task = placement.task
    run = cluster.assign(
        task, placement.worker, placement.attempt, runs.RunPhase.WRITING
    )
    if task.step.lasting or placement.attempt > 1:
        cluster.note('placed', run, 'lasting' if task.step.lasting else 'retry')
    if task.job.phase is stored.JobPhase.QUEUED:
        task.job.phase = stored.JobPhase.RUNNING
    return StartOrder(run, placement.ticket)


def find_obstacle(
    orders: Iterable[StartOrder], worker_fences: fences.Fences
) -> str:
    """Return what has come up against the start of any of the runs."""
    return next(
        filter(None, (_obstacle(order.run, worker_fences) for order in orders)),
        '',
    )


def _obstacle(run: runs.Run, worker_fences: fences.Fences) -> str:
    if not run.unsent:
        return 'withdrawn'
    due = worker_fences.token(run.worker) is None
    return 'fence-due' if due else run.obstacle
