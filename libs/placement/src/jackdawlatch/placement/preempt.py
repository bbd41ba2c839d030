"""Fair sharing by observed use; less urgent work makes way at full pools."""

from collections.abc import Iterator

import xxhash

from jackdawlatch.model import hosts, work
from jackdawlatch.placement import (
    decisions,
    duties,
    fairness,
    planners,
    relief,
    rooms,
    situation,
    victims,
)

# So many jobs of a kind are tried after one that has no room.
TRIES = 4
# A job that has waited so long gets a host kept free for it.
RESERVE_AFTER_S = 30
NO_ROOM = 'no host has room'
NO_QUOTA = 'the quota of its team is used up'
MAKING_ROOM = 'room is being made for it'


class PreemptPlanner(planners.Planner):
    """Shares each pool fairly and makes room for what is entitled to it."""

    def plan(self, seen: situation.Situation) -> tuple[decisions.Decision, ...]:
        """Return the decisions of a round."""
        ledger = situation.Ledger(seen)
        return tuple(
            decision
            for pool in seen.pools
            for decision in _Round(pool, seen, ledger).plan()
        )


class _Round:
    """One pool in one round."""

    def __init__(
        self,
        pool: situation.Pool,
        seen: situation.Situation,
        ledger: situation.Ledger,
    ) -> None:
        self._pool = pool
        self._seen = seen
        self._ledger = ledger
        self._rooms = rooms.Rooms(pool, seen.rng)
        self._shares = fairness.Shares(self._rooms.total, seen.kind_weights)
        for tasks in pool.tasks_by_host.values():
            for task in tasks:
                if not task.leaving:
                    self._shares.add(task.job.kind, task.size)
        self._clearer = victims.Clearer(self._rooms, self._shares, seen.now_s)
        self._reserved = False

    def plan(self) -> Iterator[decisions.Decision]:
        """Yield the decisions, in the order to carry out."""
        yield from duties.stops(self._pool)
        yield from duties.moves(self._pool)
        refusals = tuple(duties.refusals(self._pool))
        yield from refusals
        refused = frozenset(refusal.job_id for refusal in refusals)
        jobs = duties.startable(self._pool, self._seen.now_s, refused)
        yield from self._honour_claims(jobs)
        claimed = self._pool.claims_by_job
        waiting = [job for job in jobs if job.id not in claimed]
        yield from self._share_out(waiting)
        for room in self._rooms.by_host.values():
            yield from relief.relieve(room)
            yield from relief.lift(room)

    def _honour_claims(
        self, jobs: tuple[work.Job, ...]
    ) -> Iterator[decisions.Decision]:
        for job in jobs:
            room = self._rooms.by_host.get(
                self._pool.claims_by_job.get(job.id, '')
            )
            if room is None:
                continue
            size = self._seen.expected(job)
            fits = room.admits(job) and room.fits(job, size)
            # The room is held either way, so that nothing else takes it.
            self._charge(job, size, room)
            if fits:
                yield decisions.Start(job.id, room.machine.id)
            else:
                yield decisions.Wait(job.id, MAKING_ROOM)

    def _share_out(
        self, waiting: list[work.Job]
    ) -> Iterator[decisions.Decision]:
        turns = fairness.Turns(self._shares, waiting)
        tries_by_kind: dict[work.Kind, int] = {}
        job = turns.next()
        while job is not None:
            placed = tuple(self._place(job))
            yield from placed
            if isinstance(placed[-1], decisions.Wait):
                tries = tries_by_kind.get(job.kind, 0) + 1
                tries_by_kind[job.kind] = tries
                self._reserve(job)
            if tries_by_kind.get(job.kind, 0) < TRIES:
                turns.keep_kind()
            job = turns.next()

    def _place(self, job: work.Job) -> Iterator[decisions.Decision]:
        size = self._seen.expected(job)
        if not self._ledger.allows(job.kind.team, size):
            yield decisions.Wait(job.id, NO_QUOTA)
            return
        avoid = self._rooms.avoidable(self._seen.failing_hosts(job.id))
        room = self._rooms.find(job, size, avoid)
        if room is not None:
            self._charge(job, size, room)
            yield decisions.Start(job.id, room.machine.id)
            return
        clearing = self._clearer.find(job, size, avoid)
        if clearing is None:
            yield decisions.Wait(job.id, NO_ROOM)
            return
        yield from self._clear(job, size, clearing)

    def _clear(
        self, job: work.Job, size: hosts.Capacity, clearing: victims.Clearing
    ) -> Iterator[decisions.Decision]:
        room = clearing.room
        for one in clearing.yielding:
            self._shares.remove(one.task.job.kind, one.freed)
            room.expect(one.task, one.freed)
            yield one.decision(room.machine.id)
        self._charge(job, size, room)
        yield decisions.Claim(job.id, room.machine.id)

    def _charge(
        self, job: work.Job, size: hosts.Capacity, room: rooms.Room
    ) -> None:
        room.take(size)
        self._shares.add(job.kind, size)
        self._ledger.charge(job.kind.team, size)

    def _reserve(self, job: work.Job) -> None:
        """Keep one host of the pool free for a job that waits long."""
        waited_s = self._seen.now_s - job.submitted_s
        if self._reserved or waited_s < RESERVE_AFTER_S:
            return
        self._reserved = True
        candidates = [
            room
            for room in self._rooms.by_host.values()
            if room.admits(job) and room.fits_when_empty(job)
        ]
        if candidates:
            chosen = max(candidates, key=lambda room: _lot(job, room))
            chosen.reserved_for = job.id


def _lot(job: work.Job, room: rooms.Room) -> int:
    # The same job draws the same host in each round.
    drawn = job.id + room.machine.id
    return int(xxhash.xxh3_64_intdigest(drawn.encode()))
