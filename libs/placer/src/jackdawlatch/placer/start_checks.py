"""Checks whether a start with unknown outcome reached its worker."""

from returns import result

from jackdawlatch.placement import attempt_rules, attempts, endings
from jackdawlatch.placer import shared


class StartChecker:
    """Makes workers refuse starts that they have not received so far.

    A job that must not run twice is lost unless its worker, in the boot that
    the start was recorded for, answers that it never began.
    """

    def __init__(self, context: shared.Context) -> None:
        self._context = context

    def check(self) -> None:
        """Check all starts with unknown outcome in the background."""
        if not self._context.authority.leads():
            return
        for attempt in self._context.tracker.by_job.values():
            if (
                attempt_rules.needs_start_check(attempt)
                and not attempt.call_in_progress
            ):
                attempt.call_in_progress = True
                self._context.spawn(self._check(attempt))

    async def _check(self, attempt: attempts.Attempt) -> None:
        try:
            await self._forbid(attempt)
        finally:
            attempt.call_in_progress = False

    async def _forbid(self, attempt: attempts.Attempt) -> None:
        job = attempt.job
        forbid_result = await self._context.workers.forbid(
            self._context.host_status.address(job.host), attempt.task_id
        )
        if isinstance(forbid_result, result.Failure):
            self._context.meters.count('placer_settlings_failed')
            return
        forbidden = forbid_result.unwrap()
        attempt.start_checked = True
        self._context.host_status.note_boot(job.host, forbidden.boot)
        if forbidden.started:
            attempts.record_confirmation(
                attempt, self._context.clock.monotonic_s()
            )
        elif forbidden.boot == job.boot:
            attempt.end = endings.AttemptEnd(
                attempt=job.attempt,
                ending=endings.Ending.NEVER_STARTED,
                reason='its worker never got the start',
            )
