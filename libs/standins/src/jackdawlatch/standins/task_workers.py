"""In-process workers for tests of the scheduler, with faults to set.

A worker rejects tokens lower than the highest it has seen, reports ends until
they are acknowledged, and refuses an attempt that is not higher than one that
was stopped or ended.
"""

import asyncio
import itertools
import time

from returns import result

from jackdawlatch.jobs import model
from jackdawlatch.scheduler import calls, clients, reports

END_POLL_S = 0.002


class FakeWorker:
    """One boot of a worker.

    ``down`` leaves every call unanswered.  ``lose_answers`` is the number of
    coming calls that take effect but are not answered.  While ``lost_starts``
    holds an event, starts wait for it and are then lost.  Answers to polls
    wait for ``answers_polls``.  Every run is reported at ``percent``, and at
    most ``max_ends`` ends at a time.
    """

    max_ends = 500

    def __init__(self, entry: reports.WorkerEntry) -> None:
        self.entry = entry
        self.token = 0
        self.down = False
        self.lose_answers = 0
        self.lost_starts: asyncio.Event | None = None
        self.answers_polls = asyncio.Event()
        self.answers_polls.set()
        self.percent = 100
        self.started_runs: list[calls.RunId] = []
        self.running: dict[model.TaskId, int] = {}
        self.ends: list[reports.EndReport] = []
        self._end_numbers = itertools.count(1)
        self._born_s = time.monotonic()
        self._ended: dict[model.TaskId, int] = {}

    @property
    def clock_s(self) -> float:
        """The time since the birth of this boot."""
        return time.monotonic() - self._born_s

    def start(self, request: calls.Start) -> calls.Refusal | None:
        """Start a run, or return why it is refused."""
        if not self.admit(request.token):
            return calls.Refusal.FENCED
        if self.running.get(request.task) == request.attempt:
            return None
        if request.attempt <= self._ended.get(request.task, 0):
            return calls.Refusal.OUTDATED
        self.running[request.task] = request.attempt
        self.started_runs.append(calls.RunId(request.task, request.attempt))
        return None

    def end(self, task: model.TaskId, kind: reports.EndKind) -> None:
        """End a running attempt and report it."""
        attempt = self.running.pop(task)
        self._ended[task] = attempt
        self.ends.append(
            reports.EndReport(
                next(self._end_numbers), calls.RunId(task, attempt), kind, ''
            )
        )

    def stop(self, run_id: calls.RunId) -> None:
        """Stop a run, or refuse its later start."""
        if self.running.get(run_id.task) == run_id.attempt:
            self.end(run_id.task, reports.EndKind.STOPPED)
        self._ended[run_id.task] = max(
            self._ended.get(run_id.task, 0), run_id.attempt
        )

    def admit(self, token: int) -> bool:
        """Return whether a token is at least the highest seen so far."""
        self.token = max(self.token, token)
        return token == self.token

    def accept(self, poll: calls.Poll) -> bool:
        """Carry out a poll but for its answer; return False if refused."""
        admitted = self.admit(poll.token)
        if admitted:
            self.acknowledge(poll.acked)
        return admitted

    def acknowledge(self, number: int) -> None:
        """Forget the ends up to a number."""
        self.ends = [end for end in self.ends if end.number > number]

    def status(self) -> reports.WorkerStatus:
        """Return the running attempts and the unacknowledged ends."""
        return reports.WorkerStatus(
            clock_s=self.clock_s,
            born_ms=self.entry.born_ms,
            running=tuple(
                reports.RunReport(calls.RunId(task, attempt), '', self.percent)
                for task, attempt in self.running.items()
            ),
            ended=tuple(self.ends[: self.max_ends]),
            complete=len(self.ends) < self.max_ends,
        )


class FakeWorkers(clients.WorkerClient):
    """Client of the fake workers, by id."""

    def __init__(self) -> None:
        self.by_id: dict[str, FakeWorker] = {}

    def create(self, entry: reports.WorkerEntry) -> FakeWorker:
        """Return a new worker; add it to ``by_id`` to make it reachable."""
        return FakeWorker(entry)

    async def start(
        self, target: calls.Target, request: calls.Start
    ) -> result.Result[float | None, calls.CallFailure]:
        """Start a run; return the time on the worker's clock."""
        worker = self.by_id[target.id]
        if worker.down:
            return _unanswered()
        if worker.lost_starts:
            await worker.lost_starts.wait()
            return _unanswered()
        refusal = worker.start(request)
        answer = self._answer(worker, refusal)
        return answer.map(lambda _: worker.clock_s)

    async def stop(
        self, target: calls.Target, run_id: calls.RunId, token: int
    ) -> result.Result[None, calls.CallFailure]:
        """Stop a run."""
        worker = self.by_id[target.id]
        if worker.down:
            return _unanswered()
        if not worker.admit(token):
            return self._answer(worker, calls.Refusal.FENCED)
        worker.stop(run_id)
        return self._answer(worker, None)

    async def poll(
        self, target: calls.Target, poll: calls.Poll
    ) -> result.Result[reports.WorkerStatus, calls.CallFailure]:
        """Return the worker's status, after an end or ``wait_s``."""
        worker = self.by_id[target.id]
        if worker.down:
            await asyncio.sleep(END_POLL_S)
            return _unanswered()
        if not worker.accept(poll):
            return result.Failure(_refused(calls.Refusal.FENCED))
        waited_s: float = 0
        while not worker.ends and waited_s < poll.wait_s:
            await asyncio.sleep(END_POLL_S)
            waited_s += END_POLL_S
        # A boot that has ended answers nothing.
        if worker.down or self.by_id[target.id] is not worker:
            return _unanswered()
        status = worker.status()
        await worker.answers_polls.wait()
        return result.Success(status)

    async def set_pace(
        self,
        target: calls.Target,
        run_id: calls.RunId,
        percent: int,
        token: int,
    ) -> result.Result[None, calls.CallFailure]:
        """Accept any pace."""
        return self._answer(self.by_id[target.id], None)

    def _answer(
        self, worker: FakeWorker, refusal: calls.Refusal | None
    ) -> result.Result[None, calls.CallFailure]:
        if worker.lose_answers:
            worker.lose_answers -= 1
            return _unanswered()
        if refusal is not None:
            return result.Failure(_refused(refusal))
        return result.Success(None)


def _unanswered() -> result.Failure[calls.CallFailure]:
    return result.Failure(calls.Unanswered(message='no answer'))


def _refused(reason: calls.Refusal) -> calls.Refused:
    return calls.Refused(message='refused', reason=reason)
