"""Finds out whether a start that is in doubt ever reached its worker."""

from returns import result

from jackdawlatch.placement import attempts, endings, judging
from jackdawlatch.placer import tools


class Settler:
    """Has workers refuse starts that they did not get so far.

    A job that must not run twice is lost unless its worker, in the life that
    the start was recorded for, says that it never began.
    """

    def __init__(self, own: tools.Tools) -> None:
        self._own = own

    def settle(self) -> None:
        """Ask about every start that is in doubt."""
        if not self._own.authority.leads():
            return
        for attempt in self._own.tracker.by_job.values():
            if judging.needs_settling(attempt) and not attempt.busy:
                attempt.busy = True
                self._own.spawn(self._ask(attempt))

    async def _ask(self, attempt: attempts.Attempt) -> None:
        try:
            await self._forbid(attempt)
        finally:
            attempt.busy = False

    async def _forbid(self, attempt: attempts.Attempt) -> None:
        job = attempt.job
        answered = await self._own.workers.forbid(
            self._own.sites.address(job.host), attempt.task_id
        )
        if isinstance(answered, result.Failure):
            self._own.meters.count('placer_settlings_failed')
            return
        forbidden = answered.unwrap()
        attempt.settled = True
        self._own.sites.note_boot(job.host, forbidden.boot)
        if forbidden.started:
            attempts.confirm(attempt, self._own.clock.monotonic_s())
        elif forbidden.boot == job.boot:
            attempt.end = endings.Ended(
                attempt=job.attempt,
                ending=endings.Ending.NEVER_STARTED,
                reason='its worker never got the start',
            )
