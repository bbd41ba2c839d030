"""The baseline: one queue in order of submission, by declared sizes.

It trusts every worker alike.
"""

import dataclasses
from collections.abc import Iterator

from jackdawlatch.placement import (
    decisions,
    duties,
    planners,
    rooms,
    situation,
    workers,
)


class QueuePlanner(planners.Planner):
    """Starts the oldest job that fits; nothing makes way for another."""

    def plan(self, seen: situation.Situation) -> tuple[decisions.Decision, ...]:
        """Return the decisions of a round."""
        ledger = situation.Ledger(seen)
        return tuple(
            decision
            for pool in seen.pools
            for decision in _plan(pool, seen, ledger)
        )


def _plan(
    pool: situation.Pool,
    seen: situation.Situation,
    ledger: situation.Ledger,
) -> Iterator[decisions.Decision]:
    yield from duties.stops(pool)
    yield from duties.moves(pool)
    refusals = tuple(duties.refusals(pool))
    yield from refusals
    refused = frozenset(decision.job_id for decision in refusals)
    by_declaration = _as_declared(pool)
    free = rooms.Rooms(by_declaration, seen.rng)
    for job in duties.startable(pool, seen.now_s, refused):
        if not ledger.allows(job.kind.team, job.declared):
            yield decisions.Wait(job.id, 'the quota of its team is used up')
            continue
        room = free.find(job, job.declared, frozenset())
        if room is None:
            yield decisions.Wait(job.id, 'no host has room')
            continue
        room.take(job.declared)
        ledger.charge(job.kind.team, job.declared)
        yield decisions.Start(job.id, room.machine.id)


def _as_declared(pool: situation.Pool) -> situation.Pool:
    tasks_by_host = {
        host: tuple(
            dataclasses.replace(task, size=task.job.declared) for task in tasks
        )
        for host, tasks in pool.tasks_by_host.items()
    }
    machines = tuple(
        dataclasses.replace(machine, trust=workers.Trust.UNPROVEN)
        for machine in pool.machines
    )
    return dataclasses.replace(
        pool, machines=machines, tasks_by_host=tasks_by_host
    )
