"""Decisions common to all planners: cancellations, drains, refusals."""

from collections.abc import Iterator

from jackdawlatch.model import hosts, work
from jackdawlatch.placement import decisions, drafts, snapshots, transitions


def stops(pool: snapshots.Pool) -> Iterator[decisions.Decision]:
    """Stop the tasks of cancelled jobs."""
    for host, tasks in pool.tasks_by_host.items():
        for task in tasks:
            if task.job.cancel and task.actionable:
                yield decisions.Stop(task.job.id, host)


def drains(pool: snapshots.Pool) -> Iterator[decisions.Decision]:
    """Checkpoint the movable tasks of draining hosts; others run on."""
    draining = (machine for machine in pool.machines if machine.draining)
    for machine in draining:
        for task in pool.tasks_by_host.get(machine.id, ()):
            if task.movable and not task.job.cancel:
                yield decisions.Checkpoint(task.job.id, machine.id)


def refusals(pool: snapshots.Pool) -> Iterator[decisions.Refuse]:
    """Refuse queued jobs that fit no host of the pool, in whatever phase."""
    capacities = tuple({machine.capacity for machine in pool.machines})
    if not capacities:
        return
    for job in pool.queued:
        if not _fits_any(job, capacities):
            yield decisions.Refuse(job.id, 'the job fits no host of its pool')


def startable(
    pool: snapshots.Pool, now_s: float, refused: frozenset[str]
) -> tuple[work.Job, ...]:
    """Return the queued jobs that may start now, oldest first."""
    return tuple(
        job
        for job in pool.queued
        if job.id not in refused and not transitions.is_delayed(job, now_s)
    )


def _fits_any(job: work.Job, capacities: tuple[hosts.Capacity, ...]) -> bool:
    return any(drafts.fits(job.declared, capacity) for capacity in capacities)
