"""Tells workers to start what was recorded before."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from returns import result

from jackdawlatch.backends import tasks, workers
from jackdawlatch.placement import (
    attempts,
    endings,
    judging,
    sizes,
    transitions,
)
from jackdawlatch.placer import tools

# A process that was paused for longer after it asked for the record does
# not tell the worker any more.  It is well under the lease of a task.
START_BOUND_S = 2


class Starter:
    """Sends starts, and sends those again whose outcome is in doubt."""

    def __init__(self, own: tools.Tools) -> None:
        self._own = own
        self._sending: set[asyncio.Task[None]] = set()

    def resume(self) -> None:
        """Send starts again whose outcome is in doubt."""
        for attempt in self._own.tracker.by_job.values():
            if judging.needs_start(attempt) and not attempt.busy:
                self.send(attempt, self._own.clock.monotonic_s())

    def send(self, attempt: attempts.Attempt, asked_s: float) -> None:
        """Tell the worker in the background.

        ``asked_s`` is when the record of the start was asked for.
        """
        attempt.busy = True
        self._spawn(self._send(attempt, asked_s))

    async def drain(self) -> None:
        """Wait until no start is under way."""
        while self._sending:
            await asyncio.wait(self._sending)

    async def _send(self, attempt: attempts.Attempt, asked_s: float) -> None:
        try:
            if self._in_time(attempt, asked_s):
                await self._tell(attempt, asked_s)
        finally:
            attempt.busy = False

    def _in_time(self, attempt: attempts.Attempt, asked_s: float) -> bool:
        """Whether this process was not paused since it recorded the start."""
        waited_s = self._own.clock.monotonic_s() - asked_s
        leads = self._own.authority.leads()
        if leads and waited_s <= START_BOUND_S:
            return True
        self._own.meters.count('placer_starts_too_late')
        # Another leader may have taken the attempt over meanwhile.
        attempt.origin = attempts.Origin.INHERITED
        if not attempt.starts_sent:
            self._own.tracker.doubt(attempt.job)
        if leads and not attempt.job.idempotent:
            attempt.end = endings.Ended(
                attempt=attempt.job.attempt,
                ending=endings.Ending.NEVER_STARTED,
                reason='its record was confirmed too late',
            )
        return False

    async def _tell(self, attempt: attempts.Attempt, asked_s: float) -> None:
        job = attempt.job
        attempt.starts_sent += 1
        once = job.idempotent or attempt.starts_sent == 1
        self._own.invariants.check(once, 'job-started-once', job.id)
        attempts.start_sent(attempt, self._own.clock.monotonic_s())
        answered = await self._own.workers.start(
            self._own.sites.address(job.host), self._task(attempt)
        )
        if isinstance(answered, result.Success):
            attempt.starts_unanswered = 0
            now_s = self._own.clock.monotonic_s()
            attempt.sent_s = now_s
            attempts.confirm(attempt, now_s)
        else:
            self._not_started(attempt, answered.failure())
        if self._own.clock.monotonic_s() - asked_s > START_BOUND_S:
            await self._stop_if_superseded(attempt)

    def _not_started(
        self,
        attempt: attempts.Attempt,
        failure: workers.NotStarted | workers.Uncertain,
    ) -> None:
        self._own.meters.count('placer_starts_failed', code=failure.code)
        self._own.sites.cool(attempt.job.host)
        if isinstance(failure, workers.OtherBoot):
            self._own.sites.note_boot(attempt.job.host, '')
        if isinstance(failure, workers.Uncertain):
            attempt.starts_unanswered += 1
            attempts.start_sent(attempt, self._own.clock.monotonic_s())
        else:
            attempt.end = judging.refused(attempt, failure.code)

    async def _stop_if_superseded(self, attempt: attempts.Attempt) -> None:
        """Stop a task that was started late, if its job has moved on."""
        found = await self._own.book.find(attempt.job.id)
        if isinstance(found, result.Failure):
            return
        job = found.unwrap()
        live = job.state in transitions.LIVE
        if live and job.attempt == attempt.job.attempt:
            return
        address = self._own.sites.address(attempt.job.host)
        await self._own.workers.stop(address, attempt.task_id)

    def _task(self, attempt: attempts.Attempt) -> tasks.Task:
        job = attempt.job
        size = sizes.least(
            self._own.tracker.estimator.likely(job),
            self._own.sites.capacity(job.host),
        )
        attempt.held = size
        return tasks.Task(
            id=attempt.task_id,
            processors=size.processors,
            memory_mb=size.memory_mb,
            accelerators=size.accelerators,
            command=job.command,
            lease_s=attempts.LEASE_S,
            checkpoint=job.checkpoint,
            boot=job.boot,
        )

    def _spawn(self, sent: Coroutine[Any, Any, None]) -> None:
        sending = self._own.spawn(sent)
        self._sending.add(sending)
        sending.add_done_callback(self._sending.discard)
