"""An HTTP server that stops listening without resetting connections."""

import contextlib

from tornado import httpserver

MAX_BACKLOG_CONNECTIONS = 1024


class GracefulServer(httpserver.HTTPServer):
    """Accepts the connections in the kernel's backlog before it closes.

    Closing a listening socket resets the connections that are queued in the
    kernel, and their callers may already have sent a request.
    """

    def stop_accepting(self) -> None:
        """Accept every queued connection, then stop listening."""
        for listening in self._sockets.values():
            with contextlib.suppress(BlockingIOError, ConnectionAbortedError):
                for _ in range(MAX_BACKLOG_CONNECTIONS):
                    self._handle_connection(*listening.accept())
        self.stop()
