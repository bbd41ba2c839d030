"""Tentative reservations of capacity within one planning round."""

import dataclasses
import itertools
from collections.abc import Collection, Iterable, Iterator, Mapping

from jackdawlatch.jobs import model
from jackdawlatch.scheduler import (
    late_starts,
    tasks,
    team_accounts,
    trials,
    workers,
)


@dataclasses.dataclass(frozen=True)
class WorkerCounts:
    """How many workers of a service are left after each condition.

    ``cordoned`` are about to go down or to another service.  ``usable`` may be
    given tasks, ``available`` are not suspended either,
    ``fitting`` have the capacity and the label for one more task of a step, and
    ``open`` are not withheld from it.
    """

    known: int
    cordoned: int
    usable: int
    available: int
    fitting: int
    open: int


class _Group:
    """Workers of a service that the same jobs may use."""

    def __init__(self, available: list[workers.Worker]) -> None:
        self.available = available
        # More than this is free on no worker; reservations only lower it.
        self.largest = _largest(worker.free for worker in available)
        # Needs by label that no worker had capacity for, the smallest ones.
        self._unfit_by_label: dict[str, list[model.Room]] = {}

    def is_unfit(self, need: model.Room, label: str) -> bool:
        """Whether as small a need was too large for every worker."""
        unfit = self._unfit_by_label.get(label, ())
        return any(need.fits(room) for room in unfit)

    def add_unfit(self, need: model.Room, label: str) -> None:
        """Record that no worker has capacity for a need."""
        unfit = self._unfit_by_label.get(label, ())
        self._unfit_by_label[label] = [
            room for room in unfit if not room.fits(need)
        ]
        self._unfit_by_label[label].append(need)

    def clear_unfit(self) -> None:
        """Forget the needs, since capacity was released."""
        self._unfit_by_label.clear()


class Reservations:
    """Free capacity by worker id; the workers themselves are not changed.

    The machines in ``withheld`` are not available to late jobs.  ``allowances``
    are what the quotas of the teams leave, ``slow_workers`` the ids of those
    whose tasks take several times as long.  ``late_starts`` bind tasks to workers.
    """

    def __init__(
        self,
        candidates_by_service: Mapping[str, list[workers.Worker]],
        now_s: float,
        withheld: Collection[str] = (),
        bound: late_starts.LateStarts | None = None,
    ) -> None:
        self.late_starts = late_starts.LateStarts() if bound is None else bound
        self.allowances = team_accounts.Allowances()
        pool = itertools.chain.from_iterable(candidates_by_service.values())
        for task in _unwanted_tasks(pool, now_s):
            self.allowances.reserve(task.job.claim.account, task.step.room)
        self._known_by_service = candidates_by_service
        self._groups_by_service = {
            service: _groups(_available(candidates, now_s), withheld)
            for service, candidates in candidates_by_service.items()
        }
        self._no_workers = _groups([], ())
        self._free_by_worker: dict[str, model.Room] = {}
        self._leaving_born_ms_by_service: dict[str, int] = {}
        self.slow_workers = _slow_workers(candidates_by_service, now_s)
        self.trials = trials.Trials(candidates_by_service, now_s)

    def may_leave(self, worker: workers.Worker) -> bool:
        """Whether a worker leaves, or is as old as another one that does.

        In a rolling replacement it is likely to leave next.
        """
        service = worker.entry.service
        if service not in self._leaving_born_ms_by_service:
            self._leaving_born_ms_by_service[service] = max(
                (
                    one.entry.born_ms
                    for one in self._known_by_service.get(service, ())
                    if one.entry.draining
                ),
                default=-1,
            )
        return worker.entry.born_ms <= self._leaving_born_ms_by_service[service]

    def withholds(self, service: str) -> bool:
        """Whether workers of a service are withheld from late jobs."""
        everything, open_to_late = self._groups(service)
        return everything is not open_to_late

    def may_fit(self, service: str, step: model.Step, late: bool) -> bool:
        """Whether a task of a step fits on a worker; spread is not counted."""
        group = self._group(service, late)
        need = step.reserved_room
        label = step.required_label
        if not group.largest.fits(need) or group.is_unfit(need, label):
            return False
        found = any(
            self.fits(worker, step) and worker.entry.carries(label)
            for worker in group.available
        )
        if not found:
            group.add_unfit(need, label)
        return found

    def candidates(
        self, service: str, step: model.Step, late: bool
    ) -> list[workers.Worker]:
        """Return the workers with free capacity for one more task of a step."""
        group = self._group(service, late)
        need = step.reserved_room
        if group.is_unfit(need, step.required_label):
            return []
        found = [
            worker
            for worker in group.available
            if self.free(worker).fits(need)
            and worker.entry.carries(step.required_label)
        ]
        if not found:
            group.add_unfit(need, step.required_label)
        return found

    def counts(
        self, service: str, step: model.Step, late: bool
    ) -> WorkerCounts:
        """Return how many workers could be given one more task of a step."""
        known = self._known_by_service.get(service, ())
        return WorkerCounts(
            known=len(known),
            cordoned=sum(bool(worker.cordons) for worker in known),
            usable=sum(worker.usable for worker in known),
            available=len(self._group(service, late=False).available),
            fitting=len(self.candidates(service, step, late=False)),
            open=len(self.candidates(service, step, late)),
        )

    def free(self, worker: workers.Worker) -> model.Room:
        """Return the free capacity of a worker after the reservations."""
        return self._free_by_worker.get(worker.entry.id, worker.free)

    def fits(self, worker: workers.Worker, step: model.Step) -> bool:
        """Whether a worker has capacity for one more task of a step."""
        return self.free(worker).fits(step.reserved_room)

    def reserve(self, worker: workers.Worker, need: model.Room) -> None:
        """Reserve capacity of a worker."""
        self._free_by_worker[worker.entry.id] = self.free(worker).minus(need)

    def release(self, worker: workers.Worker, need: model.Room) -> None:
        """Undo a reservation."""
        self._free_by_worker[worker.entry.id] = self.free(worker).plus(need)
        for group in self._groups_by_service.get(worker.entry.service, ()):
            group.clear_unfit()

    def _group(self, service: str, late: bool) -> _Group:
        return self._groups(service)[late]

    def _groups(self, service: str) -> tuple[_Group, _Group]:
        return self._groups_by_service.get(service, self._no_workers)


def _unwanted_tasks(
    pool: Iterable[workers.Worker], now_s: float
) -> Iterator[tasks.Task]:
    """Return the tasks of runs that have to be stopped and may go on."""
    for worker in pool:
        if worker.health.unwanted:
            if worker.reachable or now_s <= worker.lease.end_s:
                yield from worker.health.unwanted


def _largest(rooms: Iterable[model.Room]) -> model.Room:
    """Return the largest of each quantity."""
    largest = model.Room()
    for room in rooms:
        largest = model.Room(
            processors_m=max(largest.processors_m, room.processors_m),
            memory_mb=max(largest.memory_mb, room.memory_mb),
            accelerators=max(largest.accelerators, room.accelerators),
        )
    return largest


def _available(
    candidates: Iterable[workers.Worker], now_s: float
) -> list[workers.Worker]:
    return [
        worker
        for worker in candidates
        if worker.usable and worker.health.suspended_until_s <= now_s
    ]


def _slow_workers(
    candidates_by_service: Mapping[str, list[workers.Worker]], now_s: float
) -> frozenset[str]:
    return frozenset(
        worker.entry.id
        for candidates in candidates_by_service.values()
        for worker in candidates
        if worker.health.pace.is_slow(now_s)
    )


def _groups(
    available: list[workers.Worker], withheld: Collection[str]
) -> tuple[_Group, _Group]:
    """Return the workers for jobs in time, and those for late ones."""
    everything = _Group(available)
    open_to_late = [
        worker for worker in available if worker.entry.machine not in withheld
    ]
    if len(open_to_late) == len(available):
        return everything, everything
    return everything, _Group(open_to_late)
