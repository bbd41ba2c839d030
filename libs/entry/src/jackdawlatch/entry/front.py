"""Takes callers' requests in, and counts them until they are answered."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Iterator

from returns import result

from jackdawlatch.entry import answers, outcomes, requests, unsent
from jackdawlatch.entry import surroundings as surroundings_of_entry
from jackdawlatch.model import failures, work
from jackdawlatch.telemetry import events

Route = Callable[[work.Request], Awaitable[outcomes.Outcome]]


class Front:
    """Routes each request by its method and key.

    ``keyed`` takes non-idempotent requests with an idempotency key,
    ``plain`` all others.
    """

    def __init__(
        self,
        around: surroundings_of_entry.Surroundings,
        plain: Route,
        keyed: Route,
    ) -> None:
        self.draining = False
        self._around = around
        self._plain = plain
        self._keyed = keyed
        self._tasks: set[asyncio.Task[outcomes.Outcome]] = set()
        self._others = 0

    @property
    def in_flight(self) -> int:
        """How many requests are not answered yet."""
        return len(self._tasks) + self._others

    @contextlib.contextmanager
    def counting(self) -> Iterator[None]:
        """Count what runs inside as a request in flight."""
        self._others += 1
        try:
            yield
        finally:
            self._others -= 1

    def parse(self, received: requests.Received) -> requests.Parsed:
        """Return the checked request."""
        return requests.parse(received, self._around.fleet.services)

    def start(self, request: work.Request) -> asyncio.Task[outcomes.Outcome]:
        """Start to work on a request.

        The task may be cancelled only if the request is idempotent.
        """
        task = asyncio.create_task(self._run(request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def now_s(self) -> float:
        """Return the seconds since the epoch."""
        return self._around.clock.wall_s()

    async def _run(self, request: work.Request) -> outcomes.Outcome:
        started_s = self._around.clock.monotonic_s()
        keyed = request.key and not request.idempotent
        # A late copy of a keyed request may have run: its route looks.
        if request.deadline_s <= self.now_s() and not keyed:
            return result.Failure(
                unsent.Expired(message='the deadline passed while read')
            )
        route = self._keyed if keyed else self._plain
        outcome = await route(request)
        self._note(request, outcome, started_s)
        return outcome

    def _note(
        self,
        request: work.Request,
        outcome: outcomes.Outcome,
        started_s: float,
    ) -> None:
        took_s = self._around.clock.monotonic_s() - started_s
        name = _name(outcome)
        self._around.meters.count(
            'requests',
            service=request.kind.service,
            urgency=request.kind.urgency.value,
            outcome=name,
        )
        self._around.meters.record(
            'request_s', took_s, service=request.kind.service
        )
        self._around.ring.add(
            events.Event(
                name=f'request-{name}',
                request=request.id,
                detail=_code(outcome),
            )
        )


def _name(outcome: outcomes.Outcome) -> str:
    if isinstance(outcome, result.Success):
        return answers.ANSWERED
    unknown = isinstance(outcome.failure(), failures.OutcomeUnknown)
    return answers.OUTCOME_UNKNOWN if unknown else answers.NOT_RUN


def _code(outcome: outcomes.Outcome) -> str:
    if isinstance(outcome, result.Success):
        return str(outcome.unwrap().status)
    return outcome.failure().code
