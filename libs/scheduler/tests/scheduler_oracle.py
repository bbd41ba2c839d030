"""Workers with leases and late orders, and an oracle of what they ran."""

import asyncio
import collections
from collections.abc import Callable, Iterable

from returns import result

from jackdawlatch.jobs import model
from jackdawlatch.scheduler import calls, reports
from jackdawlatch.standins import task_workers

LATE_S = 4.0
ANSWER_S = 1.0


class Oracle:
    """Checks each start against all that happened before it."""

    def __init__(self, max_attempts: int) -> None:
        self.jobs_by_id: dict[str, model.Job] = {}
        self.done: set[model.TaskId] = set()
        self.failures: collections.Counter[model.TaskId] = collections.Counter()
        self._max_attempts = max_attempts
        self._noted_done: set[model.TaskId] = set()
        self._noted_failures: collections.Counter[model.TaskId] = (
            collections.Counter()
        )

    def started(self, task: model.TaskId, others: Iterable['Worker']) -> None:
        """Take note of a start; raises ``AssertionError``."""
        job = self.jobs_by_id[task.job]
        twice = [one.entry.id for one in others if task in one.running]
        assert not twice, f'{task.name} runs already on {twice}'
        assert task not in self._noted_done, f'{task.name} was done'
        failures = self._noted_failures[task]
        assert failures < self._max_attempts, f'{task.name} failed for good'
        for before in job.steps[task.step].after:
            for index in range(job.steps[before].count):
                needed = model.TaskId(job.id, 0, before, index)
                assert needed in self.done, f'{needed.name} is not done'

    def ended(self, end: reports.EndReport) -> None:
        """Take note of an end."""
        if end.kind is reports.EndKind.DONE:
            self.done.add(end.name.task)
        elif end.kind is reports.EndKind.FAILED:
            self.failures[end.name.task] += 1

    def acknowledged(self, end: reports.EndReport) -> None:
        """Take note of an end that a leader took note of."""
        if end.kind is reports.EndKind.DONE:
            self._noted_done.add(end.name.task)
        elif end.kind is reports.EndKind.FAILED:
            self._noted_failures[end.name.task] += 1

    def complete(self, job_id: str) -> bool:
        """Whether every task of a job has ended as done."""
        job = self.jobs_by_id[job_id]
        return all(
            model.TaskId(job_id, 0, number, index) in self.done
            for number, step in enumerate(job.steps)
            for index in range(step.count)
        )

    def hopeless(self, job_id: str) -> bool:
        """Whether a task of a job has failed as often as it may."""
        return any(
            task.job == job_id and count >= self._max_attempts
            for task, count in self.failures.items()
        )


class Worker(task_workers.FakeWorker):
    """Lets what runs lapse at the end of its lease."""

    def __init__(
        self,
        entry: reports.WorkerEntry,
        fleet: 'Workers',
        now: Callable[[], float],
    ) -> None:
        super().__init__(entry)
        self.late = False
        self.lease_end_s: float = 0
        self._fleet = fleet
        self._now = now

    def start(self, order: calls.Start) -> calls.Refusal | None:
        """Start a run, unless its order has expired."""
        if order.expires_s < self._now():
            return calls.Refusal.EXPIRED
        known = len(self.begun)
        present = self.running.get(order.task, order.attempt)
        others = [
            one
            for one in self._fleet.alive()
            if one is not self or present != order.attempt
        ]
        refusal = super().start(order)
        if len(self.begun) > known:
            self._fleet.oracle.started(order.task, others)
        if refusal is None:
            self.lease_end_s = max(self.lease_end_s, order.expires_s)
        return refusal

    def end(self, task: model.TaskId, kind: reports.EndKind) -> None:
        """End a run."""
        super().end(task, kind)
        self._fleet.oracle.ended(self.ends[-1])

    def lapse(self) -> None:
        """End what the lease no longer covers."""
        if self._now() > self.lease_end_s:
            for task in tuple(self.running):
                self.end(task, reports.EndKind.LAPSED)

    def lists(self) -> reports.Lists:
        """Return both lists, by the clock that all share."""
        self.lapse()
        told = super().lists()
        return reports.Lists(
            self._now(), told.born_ms, told.running, told.ended
        )


class Workers(task_workers.FakeWorkers):
    """Extends leases, and carries some starts out late."""

    def __init__(self, oracle: Oracle, now: Callable[[], float]) -> None:
        super().__init__()
        self.oracle = oracle
        self.violations: list[AssertionError] = []
        self._now = now

    def create(self, entry: reports.WorkerEntry) -> Worker:
        """Return a worker with leases."""
        return Worker(entry, self, self._now)

    def alive(self) -> list[Worker]:
        """Return the present life of each worker, without lapsed runs."""
        found = [one for one in self.by_id.values() if isinstance(one, Worker)]
        for one in found:
            one.lapse()
        return found

    async def start(
        self, target: calls.Target, order: calls.Start
    ) -> result.Result[None, calls.CallFailure]:
        """Start a run now, or later and without an answer."""
        worker = self.by_id[target.id]
        if isinstance(worker, Worker) and worker.late:
            worker.late = False
            loop = asyncio.get_running_loop()
            loop.call_later(LATE_S, self._start_late, target.id, order)
            await asyncio.sleep(ANSWER_S)
            return result.Failure(calls.Unanswered(message='late'))
        try:
            return await super().start(target, order)
        except AssertionError as violation:
            self.violations.append(violation)
            raise

    async def look(
        self, target: calls.Target, look: calls.Look
    ) -> result.Result[reports.Lists, calls.CallFailure]:
        """Return the lists; extends the lease of what runs."""
        worker = self.by_id[target.id]
        if isinstance(worker, Worker) and not worker.down:
            worker.lapse()
            if worker.admit(look.token):
                self._take(worker, look)
        return await super().look(target, look)

    def _take(self, worker: Worker, look: calls.Look) -> None:
        for end in worker.ends:
            if end.number <= look.acked:
                self.oracle.acknowledged(end)
        if look.lease_s is not None:
            worker.lease_end_s = max(worker.lease_end_s, look.lease_s)

    def _start_late(self, worker_id: str, order: calls.Start) -> None:
        try:
            # The worker's next life answers under the same id.
            self.by_id[worker_id].start(order)
        except AssertionError as violation:
            self.violations.append(violation)
