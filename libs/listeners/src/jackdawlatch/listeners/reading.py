"""Reads one request, and passes it on only when it is complete."""

import http
from collections.abc import Callable

from tornado import httputil

from jackdawlatch.listeners import connections, guard, refusals
from jackdawlatch.policy import unfinished

# A name and a value of a header take about this much besides their text.
HEADER_BYTES = 256
# A longer number of bytes is over any limit; it is not converted.
LENGTH_DIGITS = 15
# How much more than the limit is read from a client that was refused.
LINGER_BYTES = 1_048_576


class Reader(httputil.HTTPMessageDelegate):
    """Collects a body within the bounds of the guard.

    The application gets nothing of a request that is refused or whose client
    disconnects, so such a request has not run.
    """

    def __init__(
        self,
        connection: connections.Connection,
        reply_to: httputil.HTTPConnection,
        clients: guard.Guard,
        handle: Callable[['Reader'], None],
    ) -> None:
        self.start_line = httputil.RequestStartLine('', '', '')
        self.headers = httputil.HTTPHeaders()
        self.body = bytearray()
        self.reply_to = reply_to
        self._connection = connection
        self._clients = clients
        self._handle = handle

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Refuse a body that is announced to be over the limit."""
        if isinstance(start_line, httputil.RequestStartLine):
            self.start_line = start_line
        self.headers = headers
        self._connection.phase = connections.Phase.BODY
        self._connection.refuse = self._refuse_for_now
        length = headers.get('Content-Length', '')
        if length.isdecimal() and self._too_large(length):
            self._refuse_size()
            return
        lines = sum(1 for _ in headers.get_all())
        self._clients.hold(
            self._connection, lines * HEADER_BYTES + self._received()
        )

    def data_received(self, chunk: bytes) -> None:
        """Keep a part of the body, or discard it after a refusal."""
        if self._connection.phase is not connections.Phase.BODY:
            if self._received() > self._clients.limits.max_body_bytes + (
                LINGER_BYTES
            ):
                self._connection.stream.close()
            return
        if len(self.body) + len(chunk) > self._clients.limits.max_body_bytes:
            self._refuse_size()
            return
        self.body += chunk
        self._clients.hold(self._connection, len(chunk))

    def finish(self) -> None:
        """Pass a complete request on, unless too much is being handled."""
        if self._connection.phase is connections.Phase.CLOSE:
            self.reply_to.finish()
            self._connection.stream.close()
        elif self._clients.admit(self._connection, len(self.body)):
            self._handle(self)
        else:
            self._refuse_for_now()

    def on_connection_close(self) -> None:
        """Discard what was read.

        The headers are cleared, since reference cycles keep them until the
        next garbage collection.
        """
        self.body = bytearray()
        self.headers.clear()

    def _received(self) -> int:
        return self._connection.received_bytes

    def _too_large(self, length: str) -> bool:
        if len(length) > LENGTH_DIGITS:
            return True
        return int(length) > self._clients.limits.max_body_bytes

    def _refuse_size(self) -> None:
        limit = self._clients.limits.max_body_bytes
        self._clients.refuse(self._connection, unfinished.Limit.BODY)
        self._answer(
            http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            self._clients.refusals.too_large(self.headers, limit),
        )
        if 'Expect' in self.headers:
            # The client waits for the answer before it sends the body.
            self.reply_to.finish()
            self._connection.stream.close()

    def _refuse_for_now(self) -> None:
        self._clients.linger(self._connection)
        self._answer(
            http.HTTPStatus.SERVICE_UNAVAILABLE,
            self._clients.refusals.overloaded(self.headers),
        )
        self.reply_to.finish()
        self._connection.stream.close()
        self.on_connection_close()

    def _answer(
        self, status: http.HTTPStatus, refusal: refusals.Refusal
    ) -> None:
        self.body = bytearray()
        head_only = self.start_line.method == 'HEAD'
        content = b'' if head_only else refusal.body
        headers = httputil.HTTPHeaders(dict(refusal.headers))
        headers['Content-Length'] = str(len(content))
        headers['Connection'] = 'close'
        self.reply_to.write_headers(
            httputil.ResponseStartLine('HTTP/1.1', status, status.phrase),
            headers,
            content,
        )
