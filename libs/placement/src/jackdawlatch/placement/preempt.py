"""Fair sharing by observed usage, with preemption in full pools."""

from collections.abc import Iterator

import xxhash

from jackdawlatch.model import hosts, work
from jackdawlatch.placement import (
    allocations,
    common_decisions,
    decisions,
    fairness,
    overload,
    planners,
    snapshots,
    victims,
)

# A kind is skipped once this many of its jobs found no capacity in a round.
MAX_FAILED_TRIES = 4
# A host is reserved for a job that has waited this long.
RESERVE_AFTER_S = 30
NO_CAPACITY = 'no host has enough free capacity'
QUOTA_EXHAUSTED = 'the quota of its team is used up'
WAITING_FOR_PREEMPTION = 'capacity is being freed for it'


class PreemptPlanner(planners.Planner):
    """Shares each pool fairly and preempts tasks for entitled jobs."""

    def plan(
        self, snapshot: snapshots.Snapshot
    ) -> tuple[decisions.Decision, ...]:
        """Return the decisions of a round."""
        quota_usage = snapshots.QuotaUsage(snapshot)
        return tuple(
            decision
            for pool in snapshot.pools
            for decision in _Round(pool, snapshot, quota_usage).plan()
        )


class _Round:
    """Plans one pool in one round."""

    def __init__(
        self,
        pool: snapshots.Pool,
        snapshot: snapshots.Snapshot,
        quota_usage: snapshots.QuotaUsage,
    ) -> None:
        self._pool = pool
        self._snapshot = snapshot
        self._quota_usage = quota_usage
        self._allocations = allocations.PoolAllocations(pool, snapshot.rng)
        self._shares = fairness.Shares(
            self._allocations.total, snapshot.kind_weights
        )
        for tasks in pool.tasks_by_host.values():
            for task in tasks:
                if not task.leaving:
                    self._shares.add(task.job.kind, task.size)
        self._preemption_finder = victims.PreemptionFinder(
            self._allocations, self._shares, snapshot.now_s
        )
        self._reserved = False

    def plan(self) -> Iterator[decisions.Decision]:
        """Yield the decisions in the order of execution."""
        yield from common_decisions.stops(self._pool)
        yield from common_decisions.drains(self._pool)
        refusals = tuple(common_decisions.refusals(self._pool))
        yield from refusals
        refused = frozenset(refusal.job_id for refusal in refusals)
        jobs = common_decisions.startable(
            self._pool, self._snapshot.now_s, refused
        )
        yield from self._start_claimed(jobs)
        claimed = self._pool.claims_by_job
        waiting = [job for job in jobs if job.id not in claimed]
        yield from self._place_fairly(waiting)
        for allocation in self._allocations.by_host.values():
            yield from overload.reduce_overload(allocation)
            yield from overload.lift_throttles(allocation)

    def _start_claimed(
        self, jobs: tuple[work.Job, ...]
    ) -> Iterator[decisions.Decision]:
        for job in jobs:
            allocation = self._allocations.by_host.get(
                self._pool.claims_by_job.get(job.id, '')
            )
            if allocation is None:
                continue
            size = self._snapshot.expected(job)
            fits = allocation.accepts(job) and allocation.fits(job, size)
            # Also counted if the job has to wait, so that no other takes it.
            self._charge(job, size, allocation)
            if fits:
                yield decisions.Start(job.id, allocation.machine.id)
            else:
                yield decisions.Wait(job.id, WAITING_FOR_PREEMPTION)

    def _place_fairly(
        self, waiting: list[work.Job]
    ) -> Iterator[decisions.Decision]:
        fair_queue = fairness.FairQueue(self._shares, waiting)
        failed_tries_by_kind: dict[work.Kind, int] = {}
        job = fair_queue.next()
        while job is not None:
            placed = tuple(self._place(job))
            yield from placed
            if isinstance(placed[-1], decisions.Wait):
                failed_tries = failed_tries_by_kind.get(job.kind, 0) + 1
                failed_tries_by_kind[job.kind] = failed_tries
                self._reserve(job)
            if failed_tries_by_kind.get(job.kind, 0) < MAX_FAILED_TRIES:
                fair_queue.requeue_kind()
            job = fair_queue.next()

    def _place(self, job: work.Job) -> Iterator[decisions.Decision]:
        size = self._snapshot.expected(job)
        if not self._quota_usage.allows(job.kind.team, size):
            yield decisions.Wait(job.id, QUOTA_EXHAUSTED)
            return
        avoid = self._allocations.hosts_to_avoid(
            self._snapshot.failing_hosts(job.id)
        )
        allocation = self._allocations.find(job, size, avoid)
        if allocation is not None:
            self._charge(job, size, allocation)
            yield decisions.Start(job.id, allocation.machine.id)
            return
        preemption = self._preemption_finder.find(job, size, avoid)
        if preemption is None:
            yield decisions.Wait(job.id, NO_CAPACITY)
            return
        yield from self._preempt(job, size, preemption)

    def _preempt(
        self,
        job: work.Job,
        size: hosts.Capacity,
        preemption: victims.Preemption,
    ) -> Iterator[decisions.Decision]:
        allocation = preemption.allocation
        for one in preemption.victims:
            self._shares.remove(one.task.job.kind, one.freed)
            allocation.expect_release(one.task, one.freed)
            yield one.decision(allocation.machine.id)
        self._charge(job, size, allocation)
        yield decisions.Claim(job.id, allocation.machine.id)

    def _charge(
        self,
        job: work.Job,
        size: hosts.Capacity,
        allocation: allocations.HostAllocation,
    ) -> None:
        allocation.allocate(size)
        self._shares.add(job.kind, size)
        self._quota_usage.charge(job.kind.team, size)

    def _reserve(self, job: work.Job) -> None:
        """Reserve one host of the pool for a job that has waited long."""
        waited_s = self._snapshot.now_s - job.submitted_s
        if self._reserved or waited_s < RESERVE_AFTER_S:
            return
        self._reserved = True
        candidates = [
            allocation
            for allocation in self._allocations.by_host.values()
            if allocation.accepts(job) and allocation.fits_when_empty(job)
        ]
        if candidates:
            chosen = max(
                candidates, key=lambda allocation: _host_hash(job, allocation)
            )
            chosen.reserved_for = job.id


def _host_hash(job: work.Job, allocation: allocations.HostAllocation) -> int:
    # The hash of job and host chooses the same host in each round.
    hashed = job.id + allocation.machine.id
    return int(xxhash.xxh3_64_intdigest(hashed.encode()))
