"""Sends one request to a runner, and again only while that is safe."""

import asyncio
import dataclasses

from returns import result

from jackdawlatch.admission import retries, tickets
from jackdawlatch.backends import runners
from jackdawlatch.entry import (
    departures,
    fleet,
    judging,
    outcomes,
    slots,
    surroundings,
    unsent,
)
from jackdawlatch.model import failures, work
from jackdawlatch.routing import leaving
from jackdawlatch.telemetry import events

MAX_AVOIDED = 3
MOVED_PAUSE_S = 0.02


@dataclasses.dataclass
class Course:
    """What has become of a request so far.

    ``failure`` is what the caller is told if nothing better comes; once it
    is an unknown outcome it stays one.
    """

    request: work.Request
    avoid: tuple[str, ...] = ()
    sent: int = 0
    failure: failures.Problem = failures.NotRun(message='nothing was tried')

    def note(self, failure: failures.Problem) -> None:
        """Keep a failure, unless an earlier one left the outcome unknown."""
        if not isinstance(self.failure, failures.OutcomeUnknown):
            self.failure = failure


class Dispatcher:
    """Takes a request through slots, runners and retries."""

    def __init__(
        self,
        around: surroundings.Surroundings,
        own_slots: slots.Slots,
        own_runners: runners.Runners,
        signs: departures.Departures,
    ) -> None:
        self._around = around
        self._slots = own_slots
        self._runners = own_runners
        self._departures = signs
        self._budgets_by_service: dict[str, retries.RetryBudget] = {}
        self.sending = 0

    async def run(self, request: work.Request) -> outcomes.Outcome:
        """Return the answer, or why there is none.

        Cancelling the call is allowed for idempotent requests only; it ends
        the exchange and gives the slot back.
        """
        budget = self._budget(request.kind.service)
        budget.attempted()
        course = Course(request)
        while True:
            outcome = await self._attempt(course)
            if isinstance(outcome, result.Success):
                return outcome
            course.note(outcome.failure())
            if not self._again(request, outcome.failure(), budget):
                break
        return result.Failure(course.failure)

    def _again(
        self,
        request: work.Request,
        failure: failures.Problem,
        budget: retries.RetryBudget,
    ) -> bool:
        """Say whether another attempt is safe, may help and is paid for."""
        if not judging.may_retry(request, failure):
            return False
        if isinstance(failure, judging.REFUSALS):
            # The runner said no; the broker leaves it alone for a while.
            return True
        paid = budget.spend()
        name = 'retries' if paid else 'retries_denied'
        self._around.meters.count(name, code=failure.code)
        return paid

    async def _attempt(self, course: Course) -> outcomes.Outcome:
        request = course.request
        if not self._around.fleet.runners(request.kind.service):
            return result.Failure(
                unsent.NoRunner(
                    message=f'{request.kind.service} has no runner',
                    retry_after_s=1,
                )
            )
        acquired = await self._slots.acquire(request, course.avoid)
        if isinstance(acquired, result.Failure):
            return acquired
        grant = acquired.unwrap()
        now_s = self._around.clock.monotonic_s()
        runner = self._around.fleet.usable(
            request.kind.service, grant.host, now_s
        )
        if runner is None:
            self._slots.release(grant, tickets.Outcome.UNUSED)
            await asyncio.sleep(MOVED_PAUSE_S)
            return result.Failure(
                judging.Moved(message=f'{grant.host} is leaving')
            )
        exchanged = await self._exchange(request, runner, grant)
        self._count(course, exchanged)
        if isinstance(exchanged, result.Failure):
            course.avoid = (*course.avoid[-MAX_AVOIDED:], grant.host)
        return exchanged

    async def _exchange(
        self, request: work.Request, runner: fleet.Runner, grant: tickets.Grant
    ) -> runners.Exchanged:
        left_s = request.deadline_s - self._around.clock.wall_s()
        self._around.ring.add(
            events.Event(
                name='request-sent', host=runner.host, request=request.id
            )
        )
        judged = tickets.Outcome.UNUSED
        self.sending += 1
        try:
            exchanged = await self._runners.exchange(
                runner.address, request, left_s
            )
            judged = judging.judge(exchanged, left_s)
        finally:
            self.sending -= 1
            self._slots.release(grant, judged)
        self._note(runner.host, judged)
        return exchanged

    def _count(self, course: Course, exchanged: runners.Exchanged) -> None:
        not_run = isinstance(exchanged, result.Failure) and isinstance(
            exchanged.failure(), failures.NotRun
        )
        if not not_run:
            course.sent += 1
        self._around.invariants.check(
            course.request.idempotent or course.sent <= 1,
            'sent-at-most-once',
            course.request.id,
        )

    def _note(self, host: str, judged: tickets.Outcome) -> None:
        self._around.meters.count('exchanges', outcome=judged.value)
        if judged is tickets.Outcome.LEAVING:
            self._departures.note(host, leaving.Sign.ANSWERED)
        if judged is tickets.Outcome.REFUSED:
            self._departures.note(host, leaving.Sign.REFUSED)

    def _budget(self, service: str) -> retries.RetryBudget:
        ratio = self._around.fleet.preset.retry_ratio
        budget = self._budgets_by_service.get(service)
        if budget is None:
            budget = retries.RetryBudget(ratio)
            self._budgets_by_service[service] = budget
        budget.ratio = ratio
        return budget
