"""A runner's stand-in: runs requests in slots and logs every run.

The query of a request chooses its behaviour: ``ms`` is its duration and
``fault`` is a key of ``responders.RESPONDERS_BY_FAULT``.
"""

import asyncio
import time

import msgspec
from tornado import web

from jackdawlatch.model import records
from jackdawlatch.standins import executions, responders, runner_state, serving

NOT_RUN_STATUS = 503
MS_PER_S = 1000


class Receipt(records.Record, frozen=True, kw_only=True):
    """The response to a request, by which a caller can recognize it."""

    host: str
    number: int
    id: str
    key: str
    method: str
    path: str
    body_bytes: int


class Server(serving.Rebootable):
    """Serves requests, and the test controls below ``/-/``."""

    def __init__(self, settings: runner_state.Settings) -> None:
        self.runner = runner_state.Runner(settings)
        context = {'runner': self.runner}
        super().__init__(
            [
                web.url('/-/state', StateHandler, context),
                web.url('/-/(drain|resume)', DrainHandler, context),
                web.url('/-/faults', FaultsHandler, context),
                web.url('/-/executions', ExecutionsHandler, context),
                web.url('/.*', RequestHandler, context),
            ],
            settings.port,
            settings.connections,
        )

    def forget(self) -> None:
        """Reset the runner, as a reboot does."""
        self.runner.forget()


class RunnerHandler(serving.Handler):
    """A handler with access to the runner."""

    def initialize(self, runner: runner_state.Runner) -> None:
        """Store the runner passed by the URL rule."""
        self.runner = runner


class RequestHandler(RunnerHandler):
    """Runs a request of any method and path."""

    async def run(self) -> None:
        """Run the request.

        Answers 503 with ``X-Not-Run`` if the runner is leaving or all slots
        are in use.
        """
        duration_s = self._duration_s()
        delay_s = self.runner.settings.delay_ms / MS_PER_S
        await asyncio.sleep(delay_s)
        reason = self.runner.refusal_reason
        if reason:
            self.runner.refuse(self.request.headers.get('X-Request-Id', ''))
            self.set_status(NOT_RUN_STATUS)
            self.set_header('X-Not-Run', reason)
            self.finish()
            return
        execution = self.runner.begin(self._execution())
        try:
            await asyncio.sleep(duration_s + delay_s)
            await self._respond(execution, duration_s)
        finally:
            self.runner.end(execution, self._fault())

    get = run
    head = run
    post = run
    put = run
    patch = run
    delete = run
    options = run

    def _duration_s(self) -> float:
        """Return the duration of the run; raises a 400 on a malformed query."""
        if self._fault() not in responders.RESPONDERS_BY_FAULT:
            raise web.HTTPError(serving.BAD_REQUEST_STATUS)
        faults = self.runner.faults
        if faults.mode is not runner_state.Mode.NORMAL:
            return 0
        try:
            requested_ms = float(self.get_query_argument('ms', '0'))
        except ValueError as error:
            raise web.HTTPError(serving.BAD_REQUEST_STATUS) from error
        return (requested_ms + faults.slow_ms) / MS_PER_S

    def _fault(self) -> str:
        mode = self.runner.faults.mode
        if mode is not runner_state.Mode.NORMAL:
            return mode.value
        return self.get_query_argument('fault', '')

    def _execution(self) -> executions.Execution:
        headers = self.request.headers
        return executions.Execution(
            host=self.runner.settings.host,
            number=0,
            id=headers.get('X-Request-Id', ''),
            key=headers.get('Idempotency-Key', ''),
            service=headers.get('X-Service', ''),
            method=self.request.method or '',
            path=self.request.uri or '',
            start_s=time.time(),
        )

    async def _respond(
        self, execution: executions.Execution, duration_s: float
    ) -> None:
        receipt = Receipt(
            host=execution.host,
            number=execution.number,
            id=execution.id,
            key=execution.key,
            method=execution.method,
            path=execution.path,
            body_bytes=len(self.request.body),
        )
        self.set_header('Content-Type', serving.JSON_TYPE)
        responder = responders.RESPONDERS_BY_FAULT[self._fault()]
        await responder.respond(self, msgspec.json.encode(receipt), duration_s)


class StateHandler(RunnerHandler):
    """Shows the slots, and whether the runner is leaving."""

    def get(self) -> None:
        """Answer the state."""
        self.finish_json(self.runner.state)


class DrainHandler(RunnerHandler):
    """Starts or ends a drain."""

    def post(self, action: str) -> None:
        """Refuse new requests, or accept them again; running ones continue."""
        self.runner.leave(action == 'drain')
        self.finish_json(self.runner.state)


class FaultsHandler(RunnerHandler):
    """Sets the faults."""

    def post(self) -> None:
        """Replace the faults by the posted ones."""
        self.runner.faults = self.read_json(runner_state.Faults)
        self.finish_json(self.runner.faults)


class ExecutionsHandler(RunnerHandler):
    """Shows the log of runs."""

    def get(self) -> None:
        """Answer the runs, beginning at number ``since``."""
        since = int(self.get_query_argument('since', '0'))
        self.finish_json(self.runner.executions.since(since))
