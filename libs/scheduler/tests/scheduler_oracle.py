"""Fake workers with leases and late starts, and an oracle of their runs."""

import asyncio
import collections
import dataclasses
from collections.abc import Callable, Iterable

from returns import result

from jackdawlatch.jobs import model
from jackdawlatch.scheduler import calls, reports
from jackdawlatch.standins import task_workers

LATE_START_S = 4.0
LATE_POLL_S = 3.0
# The clocks of workers are as slow, and stopping a run takes as long, as the
# leader has to expect.
CLOCK_SPEED = 0.98
STOP_S = 0.05
# A task may be given up once as many workers have crashed under it.
MIN_CRASHES = 2
ANSWER_TIMEOUT_S = 1.0
# Ends that a worker reports at a time.
MAX_ENDS = 2


class Oracle:
    """Checks each start against the starts and ends before it."""

    def __init__(self, max_attempts: int) -> None:
        self.jobs_by_id: dict[str, model.Job] = {}
        self.done: set[model.TaskId] = set()
        self.failures: collections.Counter[model.TaskId] = collections.Counter()
        self.crashes: collections.Counter[model.TaskId] = collections.Counter()
        self._max_attempts = max_attempts
        self._acked_done: set[model.TaskId] = set()
        self._acked_failures: collections.Counter[model.TaskId] = (
            collections.Counter()
        )

    def started(self, task: model.TaskId, others: Iterable['Worker']) -> None:
        """Check a start; raises ``AssertionError``."""
        job = self.jobs_by_id[task.job]
        running_on = [one.entry.id for one in others if task in one.running]
        assert not running_on, f'{task.name} is running already on {running_on}'
        assert task not in self._acked_done, (
            f'{task.name} was started after it was done'
        )
        failures = self._acked_failures[task]
        assert failures < self._max_attempts, (
            f'{task.name} was started after its last attempt failed'
        )
        for before in job.steps[task.step].after:
            for index in range(job.steps[before].count):
                needed = model.TaskId(job.id, 0, before, index)
                assert needed in self.done, (
                    f'{task.name} was started before {needed.name} was done'
                )

    def ended(self, end: reports.EndReport) -> None:
        """Record an end on a worker."""
        if end.kind is reports.EndKind.DONE:
            self.done.add(end.run_id.task)
        elif end.kind is reports.EndKind.FAILED:
            self.failures[end.run_id.task] += 1

    def acknowledged(self, end: reports.EndReport) -> None:
        """Record an end that a leader has acknowledged."""
        if end.kind is reports.EndKind.DONE:
            self._acked_done.add(end.run_id.task)
        elif end.kind is reports.EndKind.FAILED:
            self._acked_failures[end.run_id.task] += 1

    def complete(self, job_id: str) -> bool:
        """Whether every task of a job has ended as done."""
        job = self.jobs_by_id[job_id]
        return all(
            model.TaskId(job_id, 0, number, index) in self.done
            for number, step in enumerate(job.steps)
            for index in range(step.count)
        )

    def failed_permanently(self, job_id: str) -> bool:
        """Whether a task of a job may be started no more."""
        return any(
            task.job == job_id
            and (
                self.failures[task] >= self._max_attempts
                or self.crashes[task] >= MIN_CRASHES
            )
            for task in (*self.failures, *self.crashes)
        )


class Worker(task_workers.FakeWorker):
    """A worker whose runs lapse at the end of their lease."""

    def __init__(
        self,
        entry: reports.WorkerEntry,
        fleet: 'Workers',
        now: Callable[[], float],
    ) -> None:
        super().__init__(entry)
        self.late = False
        self.late_poll = False
        self.lease_end_s: float = 0
        self._fleet = fleet
        self._now = now

    def start(self, request: calls.Start) -> calls.Refusal | None:
        """Start a run, unless its request has expired."""
        if request.expires_s < self.clock_s:
            return calls.Refusal.EXPIRED
        known = len(self.started_runs)
        present = self.running.get(request.task, request.attempt)
        others = [
            one
            for one in self._fleet.alive()
            if one is not self or present != request.attempt
        ]
        refusal = super().start(request)
        if len(self.started_runs) > known:
            self._fleet.oracle.started(request.task, others)
        if refusal is None:
            self.lease_end_s = max(self.lease_end_s, request.expires_s)
        return refusal

    def end(self, task: model.TaskId, kind: reports.EndKind) -> None:
        """End a run."""
        super().end(task, kind)
        self._fleet.oracle.ended(self.ends[-1])

    @property
    def clock_s(self) -> float:
        """The time on the clock of this worker."""
        return self._now() * CLOCK_SPEED

    def lapse(self, stop_s: float = 0) -> None:
        """End all runs ``stop_s`` after the lease has expired."""
        if self._now() - stop_s > self.lease_end_s / CLOCK_SPEED:
            for task in tuple(self.running):
                self.end(task, reports.EndKind.LAPSED)

    def status(self) -> reports.WorkerStatus:
        """Return the status, with the time of this worker's clock."""
        self.lapse()
        current = super().status()
        return dataclasses.replace(current, clock_s=self.clock_s)


class Workers(task_workers.FakeWorkers):
    """Workers with leases, some of which carry out a start or poll late."""

    def __init__(self, oracle: Oracle, now: Callable[[], float]) -> None:
        super().__init__()
        self.oracle = oracle
        self.violations: list[AssertionError] = []
        self.is_recorded: Callable[[reports.WorkerEntry, int], bool] = (
            lambda entry, token: False
        )
        self._now = now

    def create(self, entry: reports.WorkerEntry) -> Worker:
        """Return a worker with leases."""
        worker = Worker(entry, self, self._now)
        worker.max_ends = MAX_ENDS
        return worker

    def alive(self) -> list[Worker]:
        """Return the current boot of each worker, without lapsed runs."""
        found = [one for one in self.by_id.values() if isinstance(one, Worker)]
        for one in found:
            one.lapse(STOP_S)
        return found

    async def start(
        self, target: calls.Target, request: calls.Start
    ) -> result.Result[None, calls.CallFailure]:
        """Start a run now, or later and without an answer."""
        worker = self.by_id[target.id]
        self._check_record(worker, request.token)
        if isinstance(worker, Worker) and worker.late:
            worker.late = False
            loop = asyncio.get_running_loop()
            loop.call_later(LATE_START_S, self._start_late, target.id, request)
            await asyncio.sleep(ANSWER_TIMEOUT_S)
            return result.Failure(calls.Unanswered(message='late'))
        try:
            return await super().start(target, request)
        except AssertionError as violation:
            self.violations.append(violation)
            raise

    async def poll(
        self, target: calls.Target, poll: calls.Poll
    ) -> result.Result[reports.WorkerStatus, calls.CallFailure]:
        """Return the status and extend the lease."""
        worker = self.by_id[target.id]
        if poll.lease_s is not None:
            self._check_record(worker, poll.token)
        if isinstance(worker, Worker) and worker.late_poll:
            worker.late_poll = False
            loop = asyncio.get_running_loop()
            loop.call_later(LATE_POLL_S, self._poll_late, worker, poll)
            await asyncio.sleep(ANSWER_TIMEOUT_S)
            return result.Failure(calls.Unanswered(message='late'))
        if isinstance(worker, Worker) and not worker.down:
            worker.lapse()
            if worker.admit(poll.token):
                self._apply(worker, poll)
        return await super().poll(target, poll)

    def _check_record(
        self, worker: task_workers.FakeWorker, token: int
    ) -> None:
        if self.is_recorded(worker.entry, token):
            self.violations.append(
                AssertionError(
                    f'the lease of {worker.entry.id} is extended beside its '
                    'record'
                )
            )

    def _apply(self, worker: Worker, poll: calls.Poll) -> None:
        for end in worker.ends:
            if end.number <= poll.acked:
                self.oracle.acknowledged(end)
        if poll.lease_s is not None:
            worker.lease_end_s = max(worker.lease_end_s, poll.lease_s)

    def _poll_late(self, worker: Worker, poll: calls.Poll) -> None:
        worker.lapse()
        if worker.admit(poll.token):
            self._apply(worker, poll)

    def _start_late(self, worker_id: str, request: calls.Start) -> None:
        try:
            # The next boot of the worker has the same id.
            self.by_id[worker_id].start(request)
        except AssertionError as violation:
            self.violations.append(violation)
