"""The HTTP interface for callers, on tornado."""

import asyncio
import dataclasses
import uuid
from collections.abc import Sequence
from typing import Any

from tornado import web

from jackdawlatch.entry import (
    answers,
    invalid_requests,
    jobs,
    outcomes,
    request_headers,
    request_router,
    requests,
)
from jackdawlatch.listeners import guard
from jackdawlatch.listeners import server as bounded_server
from jackdawlatch.model import failures

METHOD_NOT_ALLOWED = 405


@dataclasses.dataclass(frozen=True)
class Context:
    """The collaborators of the handlers."""

    router: request_router.RequestRouter
    jobs: jobs.Jobs


class CallerHandler(web.RequestHandler):
    """Handles requests that were read completely, and writes replies."""

    def initialize(self, context: Context) -> None:
        """Keep the collaborators; called by tornado for each request."""
        self.router = context.router
        self.jobs = context.jobs
        self.arrived_s = self.router.now_s()
        self.idempotent = True
        self.work: asyncio.Task[outcomes.Outcome] | None = None
        self._counted = False

    def prepare(self) -> None:
        """Count the request as in flight."""
        self._counted = True
        self.router.request_started()

    def on_connection_close(self) -> None:
        """Stop counting the request once the caller has disconnected."""
        super().on_connection_close()
        self._end_request()

    def received(self) -> requests.ReceivedRequest:
        """Return the request as it was read."""
        return requests.ReceivedRequest(
            method=self.request.method or '',
            uri=self.request.uri or '',
            headers=self.request.headers,
            body=self.request.body,
            arrived_s=self.arrived_s,
        )

    def reply(self, response: answers.Reply) -> None:
        """Write a reply to the caller."""
        self.set_status(response.status)
        self.clear_header('Content-Type')
        for name, text in response.headers:
            self.add_header(name, text)
        if self.router.draining:
            self.set_header('Connection', 'close')
        flushed = self.finish(response.body or None)
        flushed.add_done_callback(self._end_request)

    def fail(self, failure: failures.Problem) -> None:
        """Write the reply that reports a failure."""
        self.reply(answers.failure_reply(failure, self.request_id()))

    def request_id(self) -> str:
        """Return the request id that the caller gave, or a new one."""
        checked = request_headers.parse(self.request.headers)
        return checked.map(lambda options: options.request_id).value_or(
            uuid.uuid4().hex
        )

    def compute_etag(self) -> None:
        """Add no entity tag; targets set their own."""

    def write_error(self, status_code: int, **_details: Any) -> None:
        """Report an error raised inside tornado as a typed failure."""
        if status_code == METHOD_NOT_ALLOWED:
            self.fail(
                invalid_requests.MethodNotAllowed(
                    message='the method is not supported at this path'
                )
            )
        else:
            self.fail(
                failures.OutcomeUnknown(message='internal error in the entry')
            )

    def _end_request(self, _flushed: object = None) -> None:
        if self._counted:
            self._counted = False
            self.router.request_ended()


class ServiceHandler(CallerHandler):
    """Forwards a request to a runner of a service."""

    async def run(self) -> None:
        """Check the request, send it and write the outcome."""
        parsed = self.router.parse(self.received())
        request = parsed.value_or(None)
        if request is None:
            self.fail(parsed.failure())
            return
        self.idempotent = request.idempotent
        self.work = self.router.start(request)
        await asyncio.wait((self.work,))
        if not self.work.cancelled():
            self.reply(answers.reply_of(self.work.result(), request))

    def on_connection_close(self) -> None:
        """Cancel an idempotent request once its caller has disconnected."""
        super().on_connection_close()
        if self.work is not None and self.idempotent:
            self.work.cancel()

    get = run
    head = run
    post = run
    put = run
    patch = run
    delete = run
    options = run


class UnknownPathHandler(CallerHandler):
    """Answers 404 at every other path."""

    def prepare(self) -> None:
        """Name the paths that exist."""
        super().prepare()
        self.fail(
            invalid_requests.UnknownPath(
                message=f'nothing is served at {self.request.path}',
                hint='use /services/<service>/<path> or /jobs',
                path=self.request.path,
            )
        )


Route = tuple[str, type[CallerHandler]]


def build_server(
    context: Context, clients: guard.Guard, extra_routes: Sequence[Route] = ()
) -> bounded_server.BoundedServer:
    """Return the server for callers; it does not listen yet."""
    routes = (
        ('/services/.*', ServiceHandler),
        *extra_routes,
        ('.*', UnknownPathHandler),
    )
    return bounded_server.create(
        [(path, handler, {'context': context}) for path, handler in routes],
        clients,
    )
