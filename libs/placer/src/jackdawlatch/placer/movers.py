"""Checkpoints, throttles and stops tasks."""

import functools
from collections.abc import Awaitable, Callable

from returns import result

from jackdawlatch.backends import workers
from jackdawlatch.placement import attempts, decisions, endings
from jackdawlatch.placer import tools


class Mover:
    """Carries out what a planner decided about running tasks."""

    def __init__(self, own: tools.Tools) -> None:
        self._own = own

    def checkpoint(self, decision: decisions.Checkpoint) -> None:
        """Stop a task so that it can go on elsewhere."""
        self._begin(decision, self._checkpoint, leaving=True)

    def stop(self, decision: decisions.Stop) -> None:
        """Stop the task of a cancelled job."""
        self._begin(decision, self._stop, leaving=True)

    def throttle(self, decision: decisions.Throttle) -> None:
        """Limit a task, or lift the limit."""
        self._begin(
            decision,
            functools.partial(self._throttle, decision.fraction),
            leaving=False,
        )

    def _begin(
        self,
        decision: decisions.Decision,
        act: Callable[[attempts.Attempt, str], Awaitable[None]],
        *,
        leaving: bool,
    ) -> None:
        attempt = self._own.tracker.by_job.get(decision.job_id)
        if attempt is None or attempt.busy:
            return
        if not self._own.authority.leads():
            return
        attempt.busy = True
        attempt.leaving = leaving
        self._own.note(type(decision).__name__.lower(), attempt.job)
        self._own.spawn(self._act(attempt, act))

    async def _act(
        self,
        attempt: attempts.Attempt,
        act: Callable[[attempts.Attempt, str], Awaitable[None]],
    ) -> None:
        try:
            await act(attempt, self._own.sites.address(attempt.job.host))
        finally:
            attempt.busy = False

    async def _checkpoint(
        self, attempt: attempts.Attempt, address: str
    ) -> None:
        saved = await self._own.workers.checkpoint(address, attempt.task_id)
        if isinstance(saved, result.Success):
            attempt.end = endings.Ended(
                attempt=attempt.job.attempt,
                ending=endings.Ending.CHECKPOINTED,
                reason='made way for other work',
                checkpoint=saved.unwrap(),
            )
        elif isinstance(saved.failure(), workers.Unanswered):
            attempt.leaving = False

    async def _stop(self, attempt: attempts.Attempt, address: str) -> None:
        # What became of the task is told by its worker's usage.
        stopped = await self._own.workers.stop(address, attempt.task_id)
        unanswered = isinstance(stopped, result.Failure) and isinstance(
            stopped.failure(), workers.Unanswered
        )
        if unanswered:
            attempt.leaving = False

    async def _throttle(
        self, fraction: float, attempt: attempts.Attempt, address: str
    ) -> None:
        limited = await self._own.workers.throttle(
            address, attempt.task_id, fraction
        )
        if isinstance(limited, result.Success):
            now_s = self._own.clock.monotonic_s()
            attempts.throttled(attempt, fraction, now_s)
