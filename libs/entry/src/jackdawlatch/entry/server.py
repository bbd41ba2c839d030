"""The HTTP interface for callers, on tornado."""

import asyncio
import dataclasses
import uuid
from collections.abc import Sequence
from typing import Any

from tornado import httpserver, httputil, web

from jackdawlatch.entry import (
    answers,
    front,
    jobs,
    outcomes,
    refusals,
    requests,
    steering,
)
from jackdawlatch.model import failures

# A body over the limit is read and dropped, so that the refusal arrives.
DROPPED_BYTES = 1024 * 1024 * 1024
METHOD_NOT_ALLOWED = 405


@dataclasses.dataclass(frozen=True)
class Context:
    """What the handlers work with."""

    desk: front.Front
    jobs: jobs.Jobs
    body_limit_bytes: int


@web.stream_request_body
class CallerHandler(web.RequestHandler):
    """Reads a whole body up to the limit, and writes replies."""

    def initialize(self, context: Context) -> None:
        """Take what the application was made with."""
        self.desk = context.desk
        self.jobs = context.jobs
        self.body_limit_bytes = context.body_limit_bytes
        self.chunks: list[bytes] = []
        self.size_bytes = 0
        self.arrived_s = self.desk.now_s()
        self.idempotent = True
        self.work: asyncio.Task[outcomes.Outcome] | None = None

    def data_received(self, chunk: bytes) -> None:
        """Keep a part of the body, unless it is over the limit."""
        self.size_bytes += len(chunk)
        if self.size_bytes <= self.body_limit_bytes:
            self.chunks.append(chunk)

    def received(self) -> requests.Received:
        """Return what was read."""
        return requests.Received(
            method=self.request.method or '',
            uri=self.request.uri or '',
            headers=self.request.headers,
            body=b''.join(self.chunks),
            arrived_s=self.arrived_s,
        )

    def refusal(self) -> failures.Problem | None:
        """Return why the request can't be taken at all."""
        if self.size_bytes > self.body_limit_bytes:
            return refusals.BodyTooLarge(
                message=f'the body has {self.size_bytes} bytes',
                hint=f'send at most {self.body_limit_bytes} bytes',
                expected=f'at most {self.body_limit_bytes} bytes',
            )
        return None

    def reply(self, told: answers.Reply) -> None:
        """Write a reply."""
        self.set_status(told.status)
        self.clear_header('Content-Type')
        for name, text in told.headers:
            self.add_header(name, text)
        if self.desk.draining:
            self.set_header('Connection', 'close')
        self.finish(told.body or None)

    def fail(self, failure: failures.Problem) -> None:
        """Write the reply for a failure."""
        self.reply(answers.failed(failure, self.request_id()))

    def request_id(self) -> str:
        """Return the caller's request id, or a new one."""
        checked = steering.options(self.request.headers)
        return checked.map(lambda chosen: chosen.request_id).value_or(
            uuid.uuid4().hex
        )

    def compute_etag(self) -> None:
        """Leave entity tags to the targets."""

    def write_error(self, status_code: int, **_details: Any) -> None:
        """Tell what tornado itself refused as a typed failure."""
        if status_code == METHOD_NOT_ALLOWED:
            self.fail(refusals.MethodNotAllowed(message='not served'))
        else:
            self.fail(
                failures.OutcomeUnknown(message='the entry has failed inside')
            )


class ServiceHandler(CallerHandler):
    """Sends a request to a runner of a service."""

    async def run(self) -> None:
        """Answer a request of any method."""
        refused = self.refusal()
        if refused is not None:
            self.fail(refused)
            return
        parsed = self.desk.parse(self.received())
        request = parsed.value_or(None)
        if request is None:
            self.fail(parsed.failure())
            return
        self.idempotent = request.idempotent
        self.work = self.desk.start(request)
        await asyncio.wait((self.work,))
        if not self.work.cancelled():
            self.reply(answers.reply_of(self.work.result(), request.id))

    def on_connection_close(self) -> None:
        """Stop work for a caller that left, if it is idempotent."""
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


class UnknownHandler(CallerHandler):
    """Refuses every other path."""

    def prepare(self) -> None:
        """Tell the caller what is served."""
        self.fail(
            refusals.UnknownPath(
                message=f'nothing is served at {self.request.path}',
                hint='ask for /services/<service>/<path> or /jobs',
                path=self.request.path,
            )
        )


Route = tuple[str, type[CallerHandler]]


def serve(
    context: Context, more: Sequence[Route] = ()
) -> httpserver.HTTPServer:
    """Return a server for callers that listens nowhere yet."""
    routes = (
        ('/services/.*', ServiceHandler),
        *more,
        ('.*', UnknownHandler),
    )
    application = web.Application(
        [(path, handler, {'context': context}) for path, handler in routes],
        log_function=_no_access_log,
    )
    return httpserver.HTTPServer(application, max_body_size=DROPPED_BYTES)


def _no_access_log(_handler: httputil.HTTPServerConnectionDelegate) -> None:
    """Leave requests to the counters."""
