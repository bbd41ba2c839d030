"""An HTTP server that stops listening without cutting callers off."""

import contextlib

from tornado import httpserver

MAX_WAITING = 1024


class AcceptingServer(httpserver.HTTPServer):
    """Takes in what the kernel has accepted before it stops to listen.

    Connections that wait in the kernel's queue are reset when the listening
    socket is closed, and their callers have often sent a request by then.
    """

    def stop_accepting(self) -> None:
        """Take in every connection that waits, and listen no more."""
        for listening in self._sockets.values():
            with contextlib.suppress(BlockingIOError, ConnectionAbortedError):
                for _ in range(MAX_WAITING):
                    self._handle_connection(*listening.accept())
        self.stop()
