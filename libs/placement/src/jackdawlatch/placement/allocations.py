"""Capacity allocated and free on each host while a round is planned."""

import random
from collections.abc import Iterable

from jackdawlatch.model import hosts, work
from jackdawlatch.placement import drafts, sizes, snapshots, worker_health

HOST_SAMPLE_SIZE = 8


class HostAllocation:
    """Capacity of one host that tasks use or have reserved."""

    def __init__(
        self,
        machine: snapshots.Machine,
        tasks: tuple[snapshots.Task, ...],
    ) -> None:
        self.machine = machine
        self.tasks = list(tasks)
        self.starts = 0
        self.reserved_for = ''
        self._used = sizes.ZERO
        self._reserved = sizes.ZERO
        self._pending_release = sizes.ZERO
        for task in tasks:
            self._used = sizes.add(self._used, task.size)
            self._reserved = sizes.add(self._reserved, task.reserved)
            if task.leaving:
                self._pending_release = sizes.add(
                    self._pending_release, task.size
                )

    @property
    def free(self) -> hosts.Capacity:
        """Return the capacity that can still be allocated."""
        taken = sizes.maximum(self._used, self._reserved)
        return sizes.subtract(self.machine.capacity, taken)

    @property
    def free_after_release(self) -> hosts.Capacity:
        """Return what is free once stopping and preempted tasks are gone."""
        return sizes.add(self.free, self._pending_release)

    @property
    def load(self) -> float:
        """Return the dominant share of the capacity that is used."""
        return sizes.share(self._used, self.machine.capacity)

    @property
    def excess(self) -> hosts.Capacity:
        """Return the use above the capacity after pending releases.

        A negative value of a resource is capacity left.
        """
        staying = sizes.subtract(self._used, self._pending_release)
        return sizes.subtract(staying, self.machine.capacity)

    def accepts(self, job: work.Job) -> bool:
        """Whether the host may get the job, whatever the job's size."""
        machine = self.machine
        if not machine.accepting or machine.trust is worker_health.Trust.BARRED:
            return False
        if self.reserved_for not in {'', job.id}:
            return False
        if machine.trust is worker_health.Trust.PROBING:
            # A probe risks one job only, and one that can run again.
            return job.idempotent and not self.starts and not self.tasks
        return True

    def fits(self, job: work.Job, size: hosts.Capacity) -> bool:
        """Whether the job fits now.

        An empty host takes any job whose declared size it can hold, also when
        the expected size is larger.
        """
        if sizes.fits_within(size, self.free):
            return True
        empty = not self.tasks and not self.starts
        return empty and self.fits_when_empty(job)

    def fits_when_empty(self, job: work.Job) -> bool:
        """Whether the declared size fits the host when it is empty."""
        return drafts.fits(job.declared, self.machine.capacity)

    def allocate(self, size: hosts.Capacity) -> None:
        """Count capacity as used and reserved."""
        self.starts += 1
        self._used = sizes.add(self._used, size)
        self._reserved = sizes.add(self._reserved, size)

    def expect_release(
        self, task: snapshots.Task, freed: hosts.Capacity
    ) -> None:
        """Count what a task releases once it is throttled or checkpointed."""
        self.tasks.remove(task)
        self._pending_release = sizes.add(self._pending_release, freed)


class PoolAllocations:
    """Allocations of all hosts of one pool."""

    def __init__(self, pool: snapshots.Pool, rng: random.Random) -> None:
        self.by_host = {
            machine.id: HostAllocation(
                machine, pool.tasks_by_host.get(machine.id, ())
            )
            for machine in pool.machines
        }
        self._available = [
            allocation
            for allocation in self.by_host.values()
            if allocation.machine.accepting and allocation.machine.trust
        ]
        self._rng = rng
        self._unplaceable_sizes: list[hosts.Capacity] = []
        self.total = sizes.ZERO
        for allocation in self._available:
            self.total = sizes.add(self.total, allocation.machine.capacity)

    def hosts_to_avoid(self, failing: frozenset[str]) -> frozenset[str]:
        """Return the failing hosts, or none if no other host is available."""
        others = any(
            allocation.machine.id not in failing
            for allocation in self._available
        )
        return failing if others else frozenset()

    def find(
        self, job: work.Job, size: hosts.Capacity, avoid: frozenset[str]
    ) -> HostAllocation | None:
        """Return the least loaded host of a sample that fits the job.

        All available hosts are searched when none of the sample fits.
        """
        if any(
            sizes.fits_within(unplaceable, size)
            for unplaceable in self._unplaceable_sizes
        ):
            return None
        found = self._best(self.sample(HOST_SAMPLE_SIZE), job, size, avoid)
        if found is None:
            found = self._best(self._available, job, size, avoid)
        if found is None and job.idempotent and not avoid:
            # Free capacity only shrinks in a round, so larger jobs can't fit.
            self._unplaceable_sizes.append(size)
        return found

    def sample(self, limit: int) -> list[HostAllocation]:
        """Return up to ``limit`` available hosts, chosen at random."""
        if len(self._available) <= limit:
            return self._available
        return self._rng.sample(self._available, limit)

    def _best(
        self,
        candidates: Iterable[HostAllocation],
        job: work.Job,
        size: hosts.Capacity,
        avoid: frozenset[str],
    ) -> HostAllocation | None:
        fitting = [
            allocation
            for allocation in candidates
            if allocation.machine.id not in avoid
            and allocation.accepts(job)
            and allocation.fits(job, size)
        ]
        if not fitting:
            return None
        return min(fitting, key=lambda allocation: _cost(allocation, job))


def _cost(allocation: HostAllocation, job: work.Job) -> tuple[int, float]:
    # Jobs that can't run again go to workers that have succeeded before.
    proven = allocation.machine.trust is worker_health.Trust.PROVEN
    risk = 0 if job.idempotent or proven else 1
    return (risk, allocation.load)
