"""Checkpoints, throttles and stops tasks."""

import functools
from collections.abc import Awaitable, Callable

from returns import result

from jackdawlatch.backends import workers
from jackdawlatch.placement import attempts, decisions, endings
from jackdawlatch.placer import shared


class TaskController:
    """Executes a planner's decisions about running tasks."""

    def __init__(self, context: shared.Context) -> None:
        self._context = context

    def checkpoint(self, decision: decisions.Checkpoint) -> None:
        """Checkpoint a task so that it can continue elsewhere."""
        self._start_call(decision, self._checkpoint, leaving=True)

    def stop(self, decision: decisions.Stop) -> None:
        """Stop the task of a cancelled job."""
        self._start_call(decision, self._stop, leaving=True)

    def throttle(self, decision: decisions.Throttle) -> None:
        """Limit the processors of a task, or lift the limit."""
        self._start_call(
            decision,
            functools.partial(self._throttle, decision.fraction),
            leaving=False,
        )

    def _start_call(
        self,
        decision: decisions.Decision,
        call: Callable[[attempts.Attempt, str], Awaitable[None]],
        *,
        leaving: bool,
    ) -> None:
        attempt = self._context.tracker.by_job.get(decision.job_id)
        if attempt is None or attempt.call_in_progress:
            return
        if not self._context.authority.leads():
            return
        attempt.call_in_progress = True
        attempt.leaving = leaving
        self._context.note(type(decision).__name__.lower(), attempt.job)
        self._context.spawn(self._run_call(attempt, call))

    async def _run_call(
        self,
        attempt: attempts.Attempt,
        call: Callable[[attempts.Attempt, str], Awaitable[None]],
    ) -> None:
        try:
            await call(
                attempt, self._context.host_status.address(attempt.job.host)
            )
        finally:
            attempt.call_in_progress = False

    async def _checkpoint(
        self, attempt: attempts.Attempt, address: str
    ) -> None:
        saved = await self._context.workers.checkpoint(address, attempt.task_id)
        if isinstance(saved, result.Success):
            attempt.end = endings.AttemptEnd(
                attempt=attempt.job.attempt,
                ending=endings.Ending.CHECKPOINTED,
                reason='made way for other work',
                checkpoint=saved.unwrap(),
            )
        elif isinstance(saved.failure(), workers.Unanswered):
            attempt.leaving = False

    async def _stop(self, attempt: attempts.Attempt, address: str) -> None:
        # The worker's usage report says how the task ended.
        stopped = await self._context.workers.stop(address, attempt.task_id)
        unanswered = isinstance(stopped, result.Failure) and isinstance(
            stopped.failure(), workers.Unanswered
        )
        if unanswered:
            attempt.leaving = False

    async def _throttle(
        self, fraction: float, attempt: attempts.Attempt, address: str
    ) -> None:
        limited = await self._context.workers.throttle(
            address, attempt.task_id, fraction
        )
        if isinstance(limited, result.Success):
            now_s = self._context.clock.monotonic_s()
            attempts.record_throttle(attempt, fraction, now_s)
