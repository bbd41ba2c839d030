"""The load balancer's check of this process."""

import http
from collections.abc import Callable

from tornado import web


class ReadyHandler(web.RequestHandler):
    """Tells the load balancer whether to send requests to this daemon."""

    _ready: Callable[[], bool]

    def initialize(self, is_ready: Callable[[], bool]) -> None:
        """Set the function that returns whether the daemon is ready."""
        self._ready = is_ready

    def get(self) -> None:
        """Answer 200 if the daemon is ready, otherwise 503."""
        if not self._ready():
            self.set_status(http.HTTPStatus.SERVICE_UNAVAILABLE)
