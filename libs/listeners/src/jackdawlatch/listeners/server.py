"""An HTTP server whose clients are held to limits."""

import contextlib
import logging
import socket
import sys
from collections.abc import Iterable, Sequence
from typing import Any

from tornado import http1connection, httpserver, httputil, iostream, log, web

from jackdawlatch.listeners import connections, guard, reading, streams

# Bytes that are read at once; small, since each connection has its own buffer.
CHUNK_BYTES = 16_384
# The size of bodies is counted by the readers, which answer 413.
UNLIMITED = sys.maxsize
MAX_BACKLOG_CONNECTIONS = 1024

Route = tuple[str, type[web.RequestHandler], dict[str, Any]]


class BoundedServer(httpserver.HTTPServer):
    """Passes on complete requests; use ``create`` for a new one."""

    def start_guarding(self, clients: guard.Guard) -> None:
        """Set the guard, before the server listens."""
        self._clients = clients
        self._guarded_by_stream: dict[object, connections.Connection] = {}
        self._sizes_by_reply: dict[httputil.HTTPConnection, int] = {}

    def add_sockets(self, sockets: Iterable[socket.socket]) -> None:
        """Listen; connections take over the size of the receive buffer.

        Unread bytes of a connection count as memory of this process.
        """
        listening = list(sockets)
        for one in listening:
            one.setsockopt(
                socket.SOL_SOCKET,
                socket.SO_RCVBUF,
                self._clients.limits.receive_buffer_bytes,
            )
        super().add_sockets(listening)

    def handle_stream(self, stream: iostream.IOStream, address: Any) -> None:
        """Serve a new connection."""
        counted = streams.CountedStream(stream.socket, CHUNK_BYTES)
        self._guarded_by_stream[counted] = self._clients.roster.open(
            counted, self._clients.usage
        )
        super().handle_stream(counted, address)

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Return the reader of a connection's next request."""
        connection = self._guarded_by_stream[_stream_of(server_conn)]
        self._clients.restart(connection)
        application = super().start_request(server_conn, request_conn)

        def handle(reader: reading.Reader) -> None:
            self._sizes_by_reply[request_conn] = len(reader.body)
            try:
                application.headers_received(reader.start_line, reader.headers)
                application.data_received(bytes(reader.body))
                reader.body = bytearray()
                application.finish()
            except Exception:
                # Such as a malformed host name: no handler has begun.
                self._stop_counting(request_conn)
                raise

        return reading.Reader(connection, request_conn, self._clients, handle)

    def on_close(self, server_conn: object) -> None:
        """Forget a connection that was closed."""
        super().on_close(server_conn)
        connection = self._guarded_by_stream.pop(_stream_of(server_conn))
        self._clients.roster.drop(connection)

    def stop_accepting(self) -> None:
        """Accept every connection in the kernel's backlog, then stop listening.

        Closing a listening socket resets the connections that are queued in the
        kernel, and their callers may already have sent a request.
        """
        for listening in self._sockets.values():
            with contextlib.suppress(BlockingIOError, ConnectionAbortedError):
                for _ in range(MAX_BACKLOG_CONNECTIONS):
                    self._handle_connection(*listening.accept())
        self.stop()

    def finished(self, handler: web.RequestHandler) -> None:
        """Stop counting a request that was answered."""
        self._stop_counting(handler.request.connection)

    def _stop_counting(self, reply_to: httputil.HTTPConnection | None) -> None:
        if reply_to in self._sizes_by_reply:
            self._clients.answered(self._sizes_by_reply.pop(reply_to))


def create(routes: Sequence[Route], clients: guard.Guard) -> BoundedServer:
    """Return a server, not listening yet."""
    pace = clients.limits.pace
    application = web.Application(list(routes))
    server = BoundedServer(
        application,
        chunk_size=CHUNK_BYTES,
        max_header_size=clients.limits.max_header_bytes,
        max_body_size=UNLIMITED,
        idle_connection_timeout=pace.idle_timeout_s + pace.header_timeout_s + 2,
    )
    server.start_guarding(clients)
    # A line for each malformed request would not be bounded in volume.
    log.gen_log.setLevel(logging.WARNING)
    # It replaces the access log, which is not bounded either.
    application.settings['log_function'] = server.finished
    return server


def _stream_of(server_conn: object) -> iostream.IOStream:
    if isinstance(server_conn, http1connection.HTTP1ServerConnection):
        return server_conn.stream
    raise TypeError(server_conn)
