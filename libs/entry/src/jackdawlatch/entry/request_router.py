"""Routes callers' requests, and counts them until they are answered."""

import asyncio
from collections.abc import Awaitable, Callable

from returns import result

from jackdawlatch.entry import (
    answers,
    not_run_failures,
    outcomes,
    requests,
    shared_dependencies,
)
from jackdawlatch.model import failures, work
from jackdawlatch.telemetry import events

Handler = Callable[[work.Request], Awaitable[outcomes.Outcome]]


class RequestRouter:
    """Routes each request by its method and idempotency key.

    ``keyed`` handles non-idempotent requests with an idempotency key,
    ``unkeyed`` all others.  While ``draining`` is set, callers are asked to
    close their connections.
    """

    def __init__(
        self,
        dependencies: shared_dependencies.Dependencies,
        unkeyed: Handler,
        keyed: Handler,
    ) -> None:
        self.draining = False
        self._dependencies = dependencies
        self._unkeyed = unkeyed
        self._keyed = keyed
        self._tasks: set[asyncio.Task[outcomes.Outcome]] = set()
        self._open_requests = 0

    @property
    def in_flight(self) -> int:
        """Return the number of requests that are not answered yet."""
        return max(len(self._tasks), self._open_requests)

    def request_started(self) -> None:
        """Count a request as in flight until ``request_ended``."""
        self._open_requests += 1

    def request_ended(self) -> None:
        """Count a request as answered in full, or as abandoned."""
        self._open_requests -= 1

    def parse(self, received: requests.ReceivedRequest) -> requests.Parsed:
        """Return the validated request, or why it is not accepted."""
        return requests.parse(received, self._dependencies.fleet.services)

    def start(self, request: work.Request) -> asyncio.Task[outcomes.Outcome]:
        """Start a task that handles a request.

        The task may be cancelled only if the request is idempotent.
        """
        task = asyncio.create_task(self._run(request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def now_s(self) -> float:
        """Return the seconds since the epoch."""
        return self._dependencies.clock.wall_s()

    async def _run(self, request: work.Request) -> outcomes.Outcome:
        started_s = self._dependencies.clock.monotonic_s()
        keyed = request.key and not request.idempotent
        # A duplicate of an expired keyed request may have run: the handler
        # of keyed requests finds out.
        if request.deadline_s <= self.now_s() and not keyed:
            return result.Failure(
                not_run_failures.Expired(
                    message='the deadline passed while the request was read'
                )
            )
        handler = self._keyed if keyed else self._unkeyed
        outcome = await handler(request)
        self._record_outcome(request, outcome, started_s)
        return outcome

    def _record_outcome(
        self,
        request: work.Request,
        outcome: outcomes.Outcome,
        started_s: float,
    ) -> None:
        elapsed_s = self._dependencies.clock.monotonic_s() - started_s
        name = _outcome_name(outcome)
        self._dependencies.meters.count(
            'requests',
            service=request.kind.service,
            urgency=request.kind.urgency.value,
            outcome=name,
        )
        self._dependencies.meters.record(
            'request_s', elapsed_s, service=request.kind.service
        )
        self._dependencies.ring.add(
            events.Event(
                name=f'request-{name}',
                request=request.id,
                detail=_status_or_code(outcome),
            )
        )


def _outcome_name(outcome: outcomes.Outcome) -> str:
    if isinstance(outcome, result.Success):
        return answers.ANSWERED
    unknown = isinstance(outcome.failure(), failures.OutcomeUnknown)
    return answers.OUTCOME_UNKNOWN if unknown else answers.NOT_RUN


def _status_or_code(outcome: outcomes.Outcome) -> str:
    if isinstance(outcome, result.Success):
        return str(outcome.unwrap().status)
    return outcome.failure().code
