"""Baseline planner: first come, first served, by declared sizes.

It treats all workers alike, whatever their health.
"""

import dataclasses
from collections.abc import Iterator

from jackdawlatch.placement import (
    allocations,
    common_decisions,
    decisions,
    planners,
    snapshots,
    worker_health,
)


class QueuePlanner(planners.Planner):
    """Starts the oldest job that fits; never preempts."""

    def plan(
        self, snapshot: snapshots.Snapshot
    ) -> tuple[decisions.Decision, ...]:
        """Return the decisions of a round."""
        quota_usage = snapshots.QuotaUsage(snapshot)
        return tuple(
            decision
            for pool in snapshot.pools
            for decision in _plan(pool, snapshot, quota_usage)
        )


def _plan(
    pool: snapshots.Pool,
    snapshot: snapshots.Snapshot,
    quota_usage: snapshots.QuotaUsage,
) -> Iterator[decisions.Decision]:
    yield from common_decisions.stops(pool)
    yield from common_decisions.drains(pool)
    refusals = tuple(common_decisions.refusals(pool))
    yield from refusals
    refused = frozenset(decision.job_id for decision in refusals)
    declared_pool = _as_declared(pool)
    pool_allocations = allocations.PoolAllocations(declared_pool, snapshot.rng)
    for job in common_decisions.startable(pool, snapshot.now_s, refused):
        if not quota_usage.allows(job.kind.team, job.declared):
            yield decisions.Wait(job.id, 'the quota of its team is used up')
            continue
        allocation = pool_allocations.find(job, job.declared, frozenset())
        if allocation is None:
            yield decisions.Wait(job.id, 'no host has enough free capacity')
            continue
        allocation.allocate(job.declared)
        quota_usage.charge(job.kind.team, job.declared)
        yield decisions.Start(job.id, allocation.machine.id)


def _as_declared(pool: snapshots.Pool) -> snapshots.Pool:
    tasks_by_host = {
        host: tuple(
            dataclasses.replace(task, size=task.job.declared) for task in tasks
        )
        for host, tasks in pool.tasks_by_host.items()
    }
    machines = tuple(
        dataclasses.replace(machine, trust=worker_health.Trust.UNPROVEN)
        for machine in pool.machines
    )
    return dataclasses.replace(
        pool, machines=machines, tasks_by_host=tasks_by_host
    )
