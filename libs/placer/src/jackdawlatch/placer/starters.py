"""Calls workers to start tasks that were recorded before."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from returns import result

from jackdawlatch.backends import tasks, workers
from jackdawlatch.placement import (
    attempt_rules,
    attempts,
    endings,
    sizes,
    transitions,
)
from jackdawlatch.placer import shared

# A start is sent only within this time after its record was requested, so that
# a process that was paused in between starts nothing.  It is well below the
# lease time of a task.
MAX_START_DELAY_S = 2


class Starter:
    """Sends starts, and resends those with unknown outcome."""

    def __init__(self, context: shared.Context) -> None:
        self._context = context
        self._sending: set[asyncio.Task[None]] = set()

    def resume(self) -> None:
        """Resend starts with unknown outcome."""
        for attempt in self._context.tracker.by_job.values():
            if (
                attempt_rules.needs_start(attempt)
                and not attempt.call_in_progress
            ):
                self.send(attempt, self._context.clock.monotonic_s())

    def send(
        self, attempt: attempts.Attempt, record_requested_s: float
    ) -> None:
        """Call the worker in the background.

        ``record_requested_s`` is the monotonic time when the record of the
        start was requested.
        """
        attempt.call_in_progress = True
        self._spawn(self._send(attempt, record_requested_s))

    async def drain(self) -> None:
        """Wait until no start is in progress."""
        while self._sending:
            await asyncio.wait(self._sending)

    async def _send(
        self, attempt: attempts.Attempt, record_requested_s: float
    ) -> None:
        try:
            if self._in_time(attempt, record_requested_s):
                await self._call_worker(attempt, record_requested_s)
        finally:
            attempt.call_in_progress = False

    def _in_time(
        self, attempt: attempts.Attempt, record_requested_s: float
    ) -> bool:
        """Whether the start may still be sent after it was recorded."""
        waited_s = self._context.clock.monotonic_s() - record_requested_s
        leads = self._context.authority.leads()
        if leads and waited_s <= MAX_START_DELAY_S:
            return True
        self._context.meters.count('placer_starts_too_late')
        # Another leader may have taken over the attempt in between.
        attempt.origin = attempts.Origin.INHERITED
        if not attempt.starts_sent:
            self._context.tracker.remember_unsent(attempt.job)
        if leads and not attempt.job.idempotent:
            attempt.end = endings.AttemptEnd(
                attempt=attempt.job.attempt,
                ending=endings.Ending.NEVER_STARTED,
                reason='its record was confirmed too late',
            )
        return False

    async def _call_worker(
        self, attempt: attempts.Attempt, record_requested_s: float
    ) -> None:
        job = attempt.job
        attempt.starts_sent += 1
        started_once = job.idempotent or attempt.starts_sent == 1
        self._context.invariants.check(started_once, 'job-started-once', job.id)
        before = (attempt.lease_sent_s, attempt.start_sent_s)
        sent_s = self._context.clock.monotonic_s()
        attempts.record_start_sent(attempt, sent_s)
        response = await self._context.workers.start(
            self._context.host_status.address(job.host), self._task(attempt)
        )
        if isinstance(response, result.Success):
            attempt.starts_unanswered = 0
            now_s = self._context.clock.monotonic_s()
            attempt.lease_sent_s = now_s
            attempts.record_confirmation(attempt, now_s)
        else:
            failure = response.failure()
            if isinstance(failure, workers.NotStarted):
                attempts.record_start_refused(attempt, sent_s, *before)
            self._record_failure(attempt, failure)
        if (
            self._context.clock.monotonic_s() - record_requested_s
            > MAX_START_DELAY_S
        ):
            await self._stop_if_superseded(attempt)

    def _record_failure(
        self,
        attempt: attempts.Attempt,
        failure: workers.NotStarted | workers.Uncertain,
    ) -> None:
        self._context.meters.count('placer_starts_failed', code=failure.code)
        self._context.host_status.back_off(attempt.job.host)
        if isinstance(failure, workers.OtherBoot):
            self._context.host_status.note_boot(attempt.job.host, '')
        if isinstance(failure, workers.Uncertain):
            attempt.starts_unanswered += 1
            attempts.record_start_sent(
                attempt, self._context.clock.monotonic_s()
            )
        else:
            attempt.end = attempt_rules.end_of_refused_start(
                attempt, failure.code
            )

    async def _stop_if_superseded(self, attempt: attempts.Attempt) -> None:
        """Stop a task that was started late if its job has changed."""
        found = await self._context.job_registry.find(attempt.job.id)
        if isinstance(found, result.Failure):
            return
        job = found.unwrap()
        live = job.state in transitions.LIVE
        if live and job.attempt == attempt.job.attempt:
            return
        address = self._context.host_status.address(attempt.job.host)
        await self._context.workers.stop(address, attempt.task_id)

    def _task(self, attempt: attempts.Attempt) -> tasks.Task:
        job = attempt.job
        size = sizes.minimum(
            self._context.tracker.estimator.reservation(job),
            self._context.host_status.capacity(job.host),
        )
        attempt.reserved = size
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

    def _spawn(self, call: Coroutine[Any, Any, None]) -> None:
        sending = self._context.spawn(call)
        self._sending.add(sending)
        sending.add_done_callback(self._sending.discard)
