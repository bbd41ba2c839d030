"""The room on each host while a round is being planned."""

import random
from collections.abc import Iterable

from jackdawlatch.model import hosts, work
from jackdawlatch.placement import drafts, situation, sizes, workers

SAMPLE = 8


class Room:
    """One host: what its tasks are counted for, and what is left."""

    def __init__(
        self,
        machine: situation.Machine,
        tasks: tuple[situation.Task, ...],
    ) -> None:
        self.machine = machine
        self.tasks = list(tasks)
        self.starts = 0
        self.reserved_for = ''
        self._used = sizes.NOTHING
        self._held = sizes.NOTHING
        self._coming = sizes.NOTHING
        for task in tasks:
            self._used = sizes.add(self._used, task.size)
            self._held = sizes.add(self._held, task.held)
            if task.leaving:
                self._coming = sizes.add(self._coming, task.size)

    @property
    def free(self) -> hosts.Capacity:
        """Return what may still be given away."""
        taken = sizes.most(self._used, self._held)
        return sizes.subtract(self.machine.capacity, taken)

    @property
    def free_soon(self) -> hosts.Capacity:
        """Return what will be free once tasks that make way are gone."""
        return sizes.add(self.free, self._coming)

    @property
    def load(self) -> float:
        """Return the dominant share that is used."""
        return sizes.share(self._used, self.machine.capacity)

    @property
    def over(self) -> hosts.Capacity:
        """Return what will be used beyond the capacity; may be negative."""
        staying = sizes.subtract(self._used, self._coming)
        return sizes.subtract(staying, self.machine.capacity)

    def admits(self, job: work.Job) -> bool:
        """Whether the host may take a job, apart from its size."""
        machine = self.machine
        if not machine.accepting or machine.trust is workers.Trust.BARRED:
            return False
        if self.reserved_for not in {'', job.id}:
            return False
        if machine.trust is workers.Trust.PROBING:
            # A probe risks one job, and none that could not run again.
            return job.idempotent and not self.starts and not self.tasks
        return True

    def fits(self, job: work.Job, size: hosts.Capacity) -> bool:
        """Whether there is room now; an empty host takes what it can hold."""
        if sizes.within(size, self.free):
            return True
        empty = not self.tasks and not self.starts
        return empty and self.fits_when_empty(job)

    def fits_when_empty(self, job: work.Job) -> bool:
        """Whether the host could hold a job at all."""
        return drafts.fits(job.declared, self.machine.capacity)

    def take(self, size: hosts.Capacity) -> None:
        """Use some of the room."""
        self.starts += 1
        self._used = sizes.add(self._used, size)
        self._held = sizes.add(self._held, size)

    def expect(self, task: situation.Task, freed: hosts.Capacity) -> None:
        """Take note that a task is about to make way."""
        self.tasks.remove(task)
        self._coming = sizes.add(self._coming, freed)


class Rooms:
    """The rooms of one pool."""

    def __init__(self, pool: situation.Pool, rng: random.Random) -> None:
        self.by_host = {
            machine.id: Room(machine, pool.tasks_by_host.get(machine.id, ()))
            for machine in pool.machines
        }
        self._open = [
            room
            for room in self.by_host.values()
            if room.machine.accepting and room.machine.trust
        ]
        self._rng = rng
        self._unfit: list[hosts.Capacity] = []
        self.total = sizes.NOTHING
        for room in self._open:
            self.total = sizes.add(self.total, room.machine.capacity)

    def avoidable(self, failing: frozenset[str]) -> frozenset[str]:
        """Return the hosts that a job avoids: none, if no other is open."""
        others = any(room.machine.id not in failing for room in self._open)
        return failing if others else frozenset()

    def find(
        self, job: work.Job, size: hosts.Capacity, avoid: frozenset[str]
    ) -> Room | None:
        """Return a room for a job: the least loaded of a few that fit."""
        if any(sizes.within(unfit, size) for unfit in self._unfit):
            return None
        found = self._best(self.sample(SAMPLE), job, size, avoid)
        if found is None:
            found = self._best(self._open, job, size, avoid)
        if found is None and job.idempotent and not avoid:
            # Room only shrinks in a round: larger jobs need not be tried.
            self._unfit.append(size)
        return found

    def sample(self, limit: int) -> list[Room]:
        """Return some of the rooms that are open, at random."""
        if len(self._open) <= limit:
            return self._open
        return self._rng.sample(self._open, limit)

    def _best(
        self,
        candidates: Iterable[Room],
        job: work.Job,
        size: hosts.Capacity,
        avoid: frozenset[str],
    ) -> Room | None:
        fitting = [
            room
            for room in candidates
            if room.machine.id not in avoid
            and room.admits(job)
            and room.fits(job, size)
        ]
        if not fitting:
            return None
        return min(fitting, key=lambda room: _cost(room, job))


def _cost(room: Room, job: work.Job) -> tuple[int, float]:
    # What cannot run again goes to workers that are known to succeed.
    proven = room.machine.trust is workers.Trust.PROVEN
    risk = 0 if job.idempotent or proven else 1
    return (risk, room.load)
