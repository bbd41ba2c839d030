"""Assigns the waiting tasks of one step to workers."""

import functools
from collections.abc import Callable

from jackdawlatch.jobs import model
from jackdawlatch.scheduler import (
    advisor,
    late_starts,
    placements,
    reservations,
    spread,
    tasks,
    workers,
)

WorkerFilter = Callable[[workers.Worker], bool]
Assignments = list[tuple[tasks.Task, workers.Worker]]


class StepPlacer:
    """Places the tasks of one step on the workers of its service.

    Tasks of a ``late`` job get none of the withheld machines.  ``avoids_slow``
    tells that slow workers get tasks only once no other one has room.
    """

    def __init__(
        self,
        state: tasks.StepState,
        reserved: reservations.Reservations,
        step_advisor: advisor.Advisor | None,
        late: bool = False,
    ) -> None:
        self.state = state
        self.avoids_slow = False
        self._step = state.step
        job = state.tasks[0].job
        self._service = job.service
        self._account = job.claim.account
        self._reservations = reserved
        self._advisor = step_advisor
        self._tickets: advisor.Tickets | None = None
        self._late = late
        self._spread = spread.Spread(self._step.max_per_worker)

    @property
    def may_fit(self) -> bool:
        """Whether a task could fit, without a look at each worker.

        Steps of advised queues count as fitting: their tickets are requested
        ahead of free capacity, in the order of the jobs.
        """
        if not _within_quota(self._reservations, self.state):
            return False
        return self._advisor is not None or self._reservations.may_fit(
            self._service, self._step, self._late
        )

    @property
    def candidates(self) -> list[workers.Worker]:
        """The workers with free capacity for one more task."""
        return self._reservations.candidates(
            self._service, self._step, self._late
        )

    def place(self) -> list[placements.Placement]:
        """Return the placements; a gang is placed whole or not at all."""
        waiting = [
            task
            for task in self.state.tasks
            if task.phase is tasks.TaskPhase.WAITING
            and not self.state.unwanted_runs.of(task.id)
        ]
        if self._advisor is not None:
            self._tickets = self._advisor.tickets(self.state)
        self._spread.add_runs(self.state.tasks)
        bound = self._reservations.late_starts
        if bound:
            # Others must not take the room on the only worker for these.
            waiting.sort(key=lambda task: not bound.of(task.id))
        gang = self._step.gang
        if gang and len(waiting) < len(self.state.tasks):
            return []
        assigned = self._assign_step(waiting)
        if len(assigned) < len(waiting):
            self._request_tickets()
        if gang and len(assigned) < len(waiting):
            self._release(assigned)
            return []
        # The members of a gang share one attempt number.
        last_attempt = max(task.attempt for task in self.state.tasks)
        return [
            placements.Placement(
                task,
                worker,
                1 + max(task.attempt, last_attempt * gang),
                self._tickets.of(worker) if self._tickets else '',
            )
            for task, worker in assigned
        ]

    def wait(self) -> placements.Wait:
        """Return why tasks of the step still wait after ``place``."""
        counts = self._reservations.counts(
            self._service, self._step, self._late
        )
        reason = next(
            (
                reason
                for reason, number in (
                    (
                        placements.WaitReason.QUOTA,
                        _within_quota(self._reservations, self.state),
                    ),
                    (placements.WaitReason.NO_WORKER, counts.known),
                    (placements.WaitReason.UNUSABLE, counts.usable),
                    (placements.WaitReason.SUSPENDED, counts.available),
                    (placements.WaitReason.NO_ROOM, counts.fitting),
                    (placements.WaitReason.WITHHELD, counts.open),
                    (
                        placements.WaitReason.SPREAD,
                        sum(map(self._spread.admits, self.candidates)),
                    ),
                )
                if not number
            ),
            placements.WaitReason.RESTRICTED,
        )
        return placements.Wait(self.state, reason, counts)

    def _request_tickets(self) -> None:
        """Request tickets for the workers that still have capacity, if any."""
        if self._advisor is None or not _within_quota(
            self._reservations, self.state
        ):
            return
        if self._tickets and self.candidates:
            self._advisor.request_more(self.state)

    def _assign_step(self, waiting: list[tasks.Task]) -> Assignments:
        if not self._step.same_rack:
            return self._assign(waiting, _any_worker)
        racks = {worker.entry.rack for worker in self.candidates}
        for rack in sorted(
            racks, key=functools.partial(_is_remote, self._step)
        ):
            assigned = self._assign(waiting, _rack_filter(rack))
            if len(assigned) == len(waiting):
                return assigned
            self._release(assigned)
        # Several racks are slower, but better than not starting.
        return self._assign(waiting, _any_worker)

    def _assign(
        self, waiting: list[tasks.Task], fits: WorkerFilter
    ) -> Assignments:
        assigned: Assignments = []
        candidates = [worker for worker in self.candidates if fits(worker)]
        for task in waiting:
            worker = self._best_worker(task, candidates)
            if worker is not None:
                self._reserve(worker, task)
                assigned.append((task, worker))
                if not self._reservations.fits(worker, self._step):
                    candidates.remove(worker)
            elif not _is_restricted(self._reservations.late_starts, task):
                break
        return assigned

    def _reserve(self, worker: workers.Worker, task: tasks.Task) -> None:
        self._spread.add(worker)
        self._reservations.reserve(worker, self._step.reserved_room)
        self._reservations.allowances.reserve(self._account, self._step.room)
        if task.suspected:
            self._reservations.trials.begin(worker, task)

    def _release(self, assigned: Assignments) -> None:
        for task, worker in assigned:
            if task.suspected:
                self._reservations.trials.cancel(worker, task)
            self._spread.remove(worker)
            self._reservations.release(worker, self._step.reserved_room)
            self._reservations.allowances.release(
                self._account, self._step.room
            )

    def _best_worker(
        self, task: tasks.Task, candidates: list[workers.Worker]
    ) -> workers.Worker | None:
        trials = self._reservations.trials
        if task.suspected and trials.is_full(task):
            return None
        allowances = self._reservations.allowances
        if not allowances.admits(self._account, self._step.room):
            return None
        admitted = [
            worker
            for worker in _admitted(
                self._reservations.late_starts, task, candidates
            )
            if trials.admits(worker, task)
            and self._spread.admits(worker)
            and (self._tickets is None or self._tickets.of(worker))
        ]
        bound = self._reservations.late_starts.of(task.id)
        if self._tickets is None and not bound:
            admitted = trials.steady(task, admitted, self._spread.admits)
        return min(
            admitted,
            key=lambda worker: (
                worker.entry.id == task.avoided_worker,
                trials.tries(worker),
                *self._cost(worker, task),
            ),
            default=None,
        )

    def _cost(
        self, worker: workers.Worker, task: tasks.Task
    ) -> tuple[float, ...]:
        remote = _is_remote(self._step, worker.entry.rack)
        free = self._reservations.free(worker).processors_m
        if task.suspected:
            # A crash should hurt as few other tasks as possible.
            return (len(worker.runs_by_task), -free, remote)
        slow_workers = self._reservations.slow_workers
        slow = self.avoids_slow and worker.entry.id in slow_workers
        if not self._step.lasting:
            return (slow, remote, free)
        # Packing keeps whole machines free for other services.
        lasting = workers.lasting_count(worker)
        leaves = self._reservations.may_leave(worker)
        return (leaves, slow, remote, -lasting, free)


def _admitted(
    bound: late_starts.LateStarts,
    task: tasks.Task,
    candidates: list[workers.Worker],
) -> list[workers.Worker]:
    """Return the workers beside which no late start can run a task."""
    if not bound.of(task.id):
        return candidates
    return [
        worker
        for worker in candidates
        if bound.admits(task.id, worker.entry.id)
    ]


def _is_restricted(bound: late_starts.LateStarts, task: tasks.Task) -> bool:
    """Whether other tasks of a step may start on more workers."""
    return task.suspected or bool(bound.of(task.id))


def _within_quota(
    reserved: reservations.Reservations, state: tasks.StepState
) -> bool:
    """Whether a team's quota admits one more task, or the whole gang."""
    if state.step.gang:
        return reserved.allowances.startable_count(state) > 0
    job = state.tasks[0].job
    return reserved.allowances.admits(job.claim.account, state.step.room)


def _is_remote(step: model.Step, rack: str) -> bool:
    return bool(step.data_rack) and rack != step.data_rack


def _any_worker(_worker: workers.Worker) -> bool:
    return True


def _rack_filter(rack: str) -> WorkerFilter:
    def fits(worker: workers.Worker) -> bool:
        return worker.entry.rack == rack

    return fits
