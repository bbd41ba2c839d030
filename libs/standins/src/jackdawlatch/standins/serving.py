"""What every stand-in's HTTP server shares."""

from collections.abc import Sequence
from typing import Any, TypeVar

import msgspec
from tornado import httpserver, netutil, routing, web

from jackdawlatch.model import records

LOOPBACK = '127.0.0.1'

OK_STATUS = 200
BAD_REQUEST_STATUS = 400
NOT_FOUND_STATUS = 404
JSON_TYPE = 'application/json'

RecordType = TypeVar('RecordType', bound=records.Record)


class Handler(web.RequestHandler):
    """A handler that reads and writes records, and can drop its caller."""

    def read_json(self, record_type: type[RecordType]) -> RecordType:
        """Return the checked JSON body; raises a 400 when it is malformed."""
        try:
            return msgspec.json.decode(
                self.request.body or b'{}', type=record_type
            )
        except msgspec.MsgspecError as error:
            raise web.HTTPError(BAD_REQUEST_STATUS, str(error)) from error

    def finish_json(self, body: Any, status: int = OK_STATUS) -> None:
        """Answer with a record, or a sequence or mapping of records."""
        self.set_status(status)
        self.set_header('Content-Type', JSON_TYPE)
        self.finish(msgspec.json.encode(body))

    def drop(self) -> None:
        """Close the connection without an answer."""
        self.detach().close()


class HealthHandler(Handler):
    """Answers as soon as the stand-in serves."""

    def get(self) -> None:
        """Answer 200."""
        self.finish('ok\n')


class Server:
    """One HTTP server on one loopback port; 0 picks a free one."""

    def __init__(self, rules: Sequence[Any], port: int = 0) -> None:
        application = web.Application(
            [
                routing.Rule(routing.PathMatches('/healthz'), HealthHandler),
                *rules,
            ],
            log_function=_ignore,
        )
        self._server = httpserver.HTTPServer(application)
        sockets = netutil.bind_sockets(port, LOOPBACK)
        self._server.add_sockets(sockets)
        self.port: int = sockets[0].getsockname()[1]

    @property
    def url(self) -> str:
        """The base URL, without a slash at its end."""
        return f'http://{LOOPBACK}:{self.port}'

    async def close(self) -> None:
        """Stop listening and close every connection."""
        self._server.stop()
        await self._server.close_all_connections()


def _ignore(_handler: web.RequestHandler) -> None:
    """Write no line per request: counters tell more."""
