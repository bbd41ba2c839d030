"""The HTTP server that all stand-ins share."""

import abc
import asyncio
from collections.abc import Sequence
from typing import Annotated, Any, TypeVar

import msgspec
from tornado import httpserver, iostream, netutil, routing, web

from jackdawlatch.model import records

LOOPBACK = '127.0.0.1'
MAX_CONNECTIONS = 4096
MAX_REBOOT_S = 600

OK_STATUS = 200
BAD_REQUEST_STATUS = 400
NOT_FOUND_STATUS = 404
CONFLICT_STATUS = 409
MS_PER_S = 1000
ACCEPTED_STATUS = 202
REBOOT_DELAY_S = 0.05
SERVED_REQUESTS_ATTRIBUTE = 'served_requests'
JSON_TYPE = 'application/json'

RecordType = TypeVar('RecordType', bound=records.Record)


class Handler(web.RequestHandler):
    """A handler that reads and writes records, and can close connections."""

    def read_json(self, record_type: type[RecordType]) -> RecordType:
        """Return the validated JSON body; raises a 400 if it is malformed."""
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

    def is_on_reused_connection(self) -> bool:
        """Return whether the connection carried an earlier request."""
        served = getattr(
            self.request.server_connection, SERVED_REQUESTS_ATTRIBUTE, 0
        )
        return bool(served > 1)

    def prepare(self) -> None:
        """Count the connection's requests."""
        self.connection_closed = asyncio.Event()
        connection = self.request.server_connection
        setattr(
            connection,
            SERVED_REQUESTS_ATTRIBUTE,
            getattr(connection, SERVED_REQUESTS_ATTRIBUTE, 0) + 1,
        )

    def on_connection_close(self) -> None:
        """Set ``connection_closed``."""
        self.connection_closed.set()

    def drop(self) -> None:
        """Close the connection without a response."""
        self.detach().close()


class HealthHandler(Handler):
    """Answers health checks."""

    def get(self) -> None:
        """Answer 200."""
        self.finish('ok\n')


class LimitedServer(httpserver.HTTPServer):
    """Closes connections beyond a limit as soon as they open."""

    def limit(self, max_connections: int) -> None:
        """Set how many connections may be open at once."""
        self._max_connections = max_connections
        self._streams: list[iostream.IOStream] = []

    def handle_stream(self, stream: iostream.IOStream, address: Any) -> None:
        """Serve a connection, or close it if the limit is reached."""
        self._streams = [one for one in self._streams if not one.closed()]
        if len(self._streams) >= self._max_connections:
            stream.close()
            return
        self._streams.append(stream)
        super().handle_stream(stream, address)


class Server:
    """One HTTP server on one loopback port; 0 picks a free one.

    It can be closed and started again at the same port.
    """

    def __init__(
        self,
        rules: Sequence[routing.URLSpec],
        port: int = 0,
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        self.port = port
        self._max_connections = max_connections
        self._application = web.Application(
            [web.url('/healthz', HealthHandler), *rules],
            log_function=_skip_request_log,
        )
        self.start()

    @property
    def url(self) -> str:
        """The base URL, without a slash at its end."""
        return f'http://{LOOPBACK}:{self.port}'

    def start(self) -> None:
        """Start to listen; raises ``OSError`` if the port is taken."""
        self._server = LimitedServer(self._application)
        self._server.limit(self._max_connections)
        sockets = netutil.bind_sockets(self.port, LOOPBACK)
        self._server.add_sockets(sockets)
        self.port = sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stop listening and close every connection."""
        self._server.stop()
        await self._server.close_all_connections()


class Reboot(records.StrictRecord, frozen=True, kw_only=True):
    """Asks a back end to be down for ``seconds`` and lose its state."""

    seconds: Annotated[float, msgspec.Meta(ge=0, le=MAX_REBOOT_S)] = 1


class Rebootable(Server, abc.ABC):
    """A back end that can be rebooted, which loses its state."""

    def __init__(
        self, rules: Sequence[routing.URLSpec], port: int, max_connections: int
    ) -> None:
        self._rebooting: asyncio.Task[None] | None = None
        reboot = web.url('/-/reboot', RebootHandler, {'server': self})
        super().__init__([reboot, *rules], port, max_connections)

    @abc.abstractmethod
    def forget(self) -> None:
        """Reset the state, as a reboot does."""

    def reboot(self, seconds: float) -> None:
        """Reboot in the background, down for ``seconds``.

        Starts after ``REBOOT_DELAY_S``, so that the request can be answered.
        Ignored while a reboot is in progress.
        """
        if self._rebooting is None or self._rebooting.done():
            self._rebooting = asyncio.create_task(self._reboot(seconds))

    async def _reboot(self, seconds: float) -> None:
        await asyncio.sleep(REBOOT_DELAY_S)
        await self.close()
        self.forget()
        await asyncio.sleep(seconds)
        self.start()


class RebootHandler(Handler):
    """Reboots the back end."""

    def initialize(self, server: Rebootable) -> None:
        """Store the back end passed by the URL rule."""
        self._server = server

    def post(self) -> None:
        """Answer that the reboot is accepted."""
        request = self.read_json(Reboot)
        self._server.reboot(request.seconds)
        self.finish_json(request, ACCEPTED_STATUS)


def _skip_request_log(_handler: web.RequestHandler) -> None:
    """Log no line per request; the counters are enough."""
