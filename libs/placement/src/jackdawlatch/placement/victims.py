"""Selection of the tasks that are preempted for a job without capacity."""

import dataclasses
from collections.abc import Iterator

from jackdawlatch.model import hosts, shares, work
from jackdawlatch.placement import (
    allocations,
    decisions,
    fairness,
    sizes,
    snapshots,
)

# Jobs that are not urgent wait this long before they may preempt others.
PREEMPT_AFTER_S = 10
MIN_FRACTION = 0.25
CHECKPOINT_COST = 1.0
THROTTLE_COST = 0.5
# Larger pools are searched by sample, to keep a round near linear.
HOST_SAMPLE_SIZE = 8
# A round stops looking for preemptions after so many failed searches.
MAX_SEARCHES = 16


@dataclasses.dataclass(frozen=True)
class Victim:
    """A task to throttle or checkpoint, and the capacity that frees."""

    task: snapshots.Task
    freed: hosts.Capacity
    cost: float

    def decision(self, host: str) -> decisions.Decision:
        """Return the decision that frees the capacity."""
        if self.cost == CHECKPOINT_COST:
            return decisions.Checkpoint(self.task.job.id, host)
        return decisions.Throttle(self.task.job.id, host, MIN_FRACTION)


@dataclasses.dataclass(frozen=True)
class Preemption:
    """The tasks to preempt on one host."""

    allocation: allocations.HostAllocation
    victims: tuple[Victim, ...]

    @property
    def cost(self) -> float:
        """Return the total cost of the victims; lower is better."""
        return sum(one.cost for one in self.victims)


class PreemptionFinder:
    """Finds the cheapest preemption in one pool."""

    def __init__(
        self,
        pool_allocations: allocations.PoolAllocations,
        shares: fairness.Shares,
        now_s: float,
    ) -> None:
        self._allocations = pool_allocations
        self._shares = shares
        self._now_s = now_s
        self._searches = 0

    def find(
        self, job: work.Job, size: hosts.Capacity, avoid: frozenset[str]
    ) -> Preemption | None:
        """Return the cheapest preemption that fits the job, if there is one."""
        if not self._may_preempt(job) or self._searches >= MAX_SEARCHES:
            return None
        preemptions = [
            preemption
            for allocation in self._allocations.sample(HOST_SAMPLE_SIZE)
            if allocation.machine.id not in avoid and allocation.accepts(job)
            for preemption in self._preemptions(allocation, job, size)
        ]
        if not preemptions:
            self._searches += 1
            return None
        return min(preemptions, key=lambda one: one.cost)

    def _may_preempt(self, job: work.Job) -> bool:
        if job.kind.urgency is work.Urgency.URGENT:
            return True
        return self._now_s - job.submitted_s >= PREEMPT_AFTER_S

    def _preemptions(
        self,
        allocation: allocations.HostAllocation,
        job: work.Job,
        size: hosts.Capacity,
    ) -> Iterator[Preemption]:
        shortfall = sizes.subtract(size, allocation.free_after_release)
        candidates = self._candidates(allocation, job, size)
        for select in (_by_throttle, _by_checkpoint):
            chosen = _choose(filter(None, map(select, candidates)), shortfall)
            if chosen is not None:
                yield Preemption(allocation, chosen)

    def _candidates(
        self,
        allocation: allocations.HostAllocation,
        job: work.Job,
        size: hosts.Capacity,
    ) -> list[snapshots.Task]:
        """Return the tasks that may be preempted, the first to go first."""
        weighted_share = self._shares.weighted_share(
            job.kind, self._shares.share(size)
        )
        candidates = [
            task
            for task in allocation.tasks
            if task.actionable
            and self._outranks(job, task.job)
            and self._weighted_share_without(task) >= weighted_share
        ]
        return sorted(candidates, key=_order)

    def _outranks(self, job: work.Job, other: work.Job) -> bool:
        if job.kind == other.kind:
            return False
        if self._now_s - job.submitted_s >= PREEMPT_AFTER_S:
            return True
        return shares.rank(other.kind.urgency) > shares.rank(job.kind.urgency)

    def _weighted_share_without(self, task: snapshots.Task) -> float:
        share = self._shares.share(task.size)
        return self._shares.weighted_share(task.job.kind, -share)


def _choose(
    candidates: Iterator[Victim], shortfall: hosts.Capacity
) -> tuple[Victim, ...] | None:
    """Return the first candidates that cover the shortfall."""
    chosen: list[Victim] = []
    for one in candidates:
        if sizes.fits_within(shortfall, sizes.ZERO):
            break
        if _reduces(one.freed, shortfall):
            chosen.append(one)
            shortfall = sizes.subtract(shortfall, one.freed)
    enough = sizes.fits_within(shortfall, sizes.ZERO)
    return tuple(chosen) if enough else None


def _order(task: snapshots.Task) -> tuple[int, float]:
    # Least urgent first; among equals, the latest started.
    return (-shares.rank(task.job.kind.urgency), -task.job.started_s)


def _by_checkpoint(task: snapshots.Task) -> Victim | None:
    if not task.movable:
        return None
    return Victim(task, task.size, CHECKPOINT_COST)


def _by_throttle(task: snapshots.Task) -> Victim | None:
    if task.fraction <= MIN_FRACTION:
        return None
    kept = MIN_FRACTION / task.fraction
    freed = hosts.Capacity(processors=task.size.processors * (1 - kept))
    return Victim(task, freed, THROTTLE_COST)


def _reduces(freed: hosts.Capacity, shortfall: hosts.Capacity) -> bool:
    return (
        (shortfall.processors > 0 and freed.processors > 0)
        or (shortfall.memory_mb > 0 and freed.memory_mb > 0)
        or (shortfall.accelerators > 0 and freed.accelerators > 0)
    )
