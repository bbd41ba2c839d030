"""Starts of runs that wait until their placements are persisted."""

import dataclasses
from collections.abc import Iterable

from jackdawlatch.jobs import stored
from jackdawlatch.scheduler import cluster_state, placing, runs


@dataclasses.dataclass(frozen=True)
class StartOrder:
    """A run whose placement is being persisted, and the ticket of its start."""

    run: runs.Run
    ticket: str


def create(
    cluster: cluster_state.ClusterState, placement: placing.Placement
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


def find_obstacle(orders: Iterable[StartOrder]) -> str:
    """Return what has come up against the start of any of the runs."""
    obstacles = (
        order.run.obstacle if order.run.unsent else 'withdrawn'
        for order in orders
    )
    return next(filter(None, obstacles), '')
