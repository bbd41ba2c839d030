"""Sends a request to a runner, and retries it only while that is safe."""

import asyncio
import dataclasses

from returns import result

from jackdawlatch.admission import retries, tickets
from jackdawlatch.backends import runners
from jackdawlatch.entry import (
    exchange_outcomes,
    fleet,
    leaving_notifier,
    not_run_failures,
    outcomes,
    shared_dependencies,
    slots,
)
from jackdawlatch.model import failures, work
from jackdawlatch.routing import leaving
from jackdawlatch.telemetry import events

MAX_EARLIER_AVOIDED_HOSTS = 3
# A pause before a request is queued again because its runner is leaving.
LEAVING_PAUSE_S = 0.02


@dataclasses.dataclass
class DispatchState:
    """The attempts made for one request so far.

    ``avoid`` names the hosts of recent failed attempts.  ``failure`` is
    returned if no attempt succeeds; an unknown outcome is never replaced.
    """

    request: work.Request
    avoid: tuple[str, ...] = ()
    sent_count: int = 0
    failure: failures.Problem = failures.NotRun(message='no attempt was made')

    def record_failure(self, failure: failures.Problem) -> None:
        """Keep the failure, unless an earlier one left the outcome unknown."""
        if not isinstance(self.failure, failures.OutcomeUnknown):
            self.failure = failure


class Dispatcher:
    """Acquires slots for requests, sends them to runners and retries.

    ``sending`` counts the exchanges in progress.
    """

    def __init__(
        self,
        dependencies: shared_dependencies.Dependencies,
        own_slots: slots.Slots,
        own_runners: runners.Runners,
        notifier: leaving_notifier.LeavingNotifier,
    ) -> None:
        self._dependencies = dependencies
        self._slots = own_slots
        self._runners = own_runners
        self._leaving_notifier = notifier
        self._budgets_by_service: dict[str, retries.RetryBudget] = {}
        self.sending = 0

    async def run(self, request: work.Request) -> outcomes.Outcome:
        """Return the answer, or the failure if no attempt succeeded.

        Cancelling the call is allowed for idempotent requests only; it ends
        the exchange and releases the slot.
        """
        budget = self._budget(request.kind.service)
        budget.attempted()
        state = DispatchState(request)
        while True:
            outcome = await self._attempt(state)
            if isinstance(outcome, result.Success):
                return outcome
            state.record_failure(outcome.failure())
            if not self._should_retry(request, outcome.failure(), budget):
                break
        return result.Failure(state.failure)

    def _should_retry(
        self,
        request: work.Request,
        failure: failures.Problem,
        budget: retries.RetryBudget,
    ) -> bool:
        """Return whether another attempt is safe, useful and within budget."""
        if not exchange_outcomes.may_retry(request, failure):
            return False
        if isinstance(failure, exchange_outcomes.REFUSALS):
            # A runner that refused gets no requests for a while.
            return True
        allowed = budget.spend()
        name = 'retries' if allowed else 'retries_denied'
        self._dependencies.meters.count(name, code=failure.code)
        return allowed

    async def _attempt(self, state: DispatchState) -> outcomes.Outcome:
        request = state.request
        if not self._dependencies.fleet.runners(request.kind.service):
            return result.Failure(
                not_run_failures.NoRunner(
                    message=f'the service {request.kind.service} has no runner',
                    retry_after_s=1,
                )
            )
        acquired = await self._slots.acquire(request, state.avoid)
        if isinstance(acquired, result.Failure):
            return acquired
        grant = acquired.unwrap()
        now_s = self._dependencies.clock.monotonic_s()
        runner = self._dependencies.fleet.available_runner(
            request.kind.service, grant.host, now_s
        )
        if runner is None:
            self._slots.release(grant, tickets.Outcome.UNUSED)
            await asyncio.sleep(LEAVING_PAUSE_S)
            return result.Failure(
                exchange_outcomes.Moved(message=f'{grant.host} is leaving')
            )
        exchanged = await self._exchange(request, runner, grant)
        self._count_sent(state, exchanged)
        if isinstance(exchanged, result.Failure):
            state.avoid = (
                *state.avoid[-MAX_EARLIER_AVOIDED_HOSTS:],
                grant.host,
            )
        return exchanged

    async def _exchange(
        self, request: work.Request, runner: fleet.Runner, grant: tickets.Grant
    ) -> runners.ExchangeResult:
        left_s = request.deadline_s - self._dependencies.clock.wall_s()
        self._dependencies.ring.add(
            events.Event(
                name='request-sent', host=runner.host, request=request.id
            )
        )
        ticket_outcome = tickets.Outcome.UNUSED
        self.sending += 1
        try:
            exchanged = await self._runners.exchange(
                runner.address, request, left_s
            )
            ticket_outcome = exchange_outcomes.ticket_outcome(exchanged, left_s)
        finally:
            self.sending -= 1
            self._slots.release(grant, ticket_outcome)
        self._record_outcome(runner.host, ticket_outcome)
        return exchanged

    def _count_sent(
        self, state: DispatchState, exchanged: runners.ExchangeResult
    ) -> None:
        not_run = isinstance(exchanged, result.Failure) and isinstance(
            exchanged.failure(), failures.NotRun
        )
        if not not_run:
            state.sent_count += 1
        self._dependencies.invariants.check(
            state.request.idempotent or state.sent_count <= 1,
            'sent-at-most-once',
            state.request.id,
        )

    def _record_outcome(
        self, host: str, ticket_outcome: tickets.Outcome
    ) -> None:
        self._dependencies.meters.count(
            'exchanges', outcome=ticket_outcome.value
        )
        if ticket_outcome is tickets.Outcome.LEAVING:
            self._leaving_notifier.report(host, leaving.Sign.ANSWERED)
        if ticket_outcome is tickets.Outcome.REFUSED:
            self._leaving_notifier.report(host, leaving.Sign.REFUSED)

    def _budget(self, service: str) -> retries.RetryBudget:
        ratio = self._dependencies.fleet.preset.retry_ratio
        budget = self._budgets_by_service.get(service)
        if budget is None:
            budget = retries.RetryBudget(ratio)
            self._budgets_by_service[service] = budget
        budget.ratio = ratio
        return budget
