"""The handlers of a daemon's operations interface."""

import http
from typing import Any

import msgspec
from tornado import web

from jackdawlatch.model import records
from jackdawlatch.node import context as contexts
from jackdawlatch.node import documents
from jackdawlatch.telemetry import meters

JSON = 'application/json'


class OperationsHandler(web.RequestHandler):
    """Base of the handlers."""

    context: contexts.Context

    def initialize(self, context: contexts.Context) -> None:
        """Keep what the handlers read."""
        self.context = context

    def write_json(self, content: Any) -> None:
        """Answer with JSON."""
        self.set_header('Content-Type', JSON)
        self.write(msgspec.json.encode(content))


class HealthHandler(OperationsHandler):
    """Whether the process is alive."""

    def get(self) -> None:
        """Answer 200."""
        self.write_json({'healthy': True})


class ReadyHandler(OperationsHandler):
    """Whether the balancer may send callers here."""

    def get(self) -> None:
        """Answer 200 or 503."""
        ready = self.context.ready()
        if not ready:
            self.set_status(http.HTTPStatus.SERVICE_UNAVAILABLE)
        self.write_json({'ready': ready})


class MetricsHandler(OperationsHandler):
    """The instruments, for scraping."""

    def get(self) -> None:
        """Answer in the format that is scraped."""
        self.set_header('Content-Type', meters.CONTENT_TYPE)
        self.write(self.context.meters.exposition())


class StatusHandler(OperationsHandler):
    """The state of the process."""

    def get(self) -> None:
        """Answer with the status record."""
        self.write_json(self.context.status())


class EventsHandler(OperationsHandler):
    """The latest events, for the time line."""

    def get(self) -> None:
        """Answer with a list of events, oldest first."""
        self.write_json(self.context.ring.latest())


class ExplainHandler(OperationsHandler):
    """Why something is as it is: ``/explain?kind=host&id=h1``."""

    def get(self) -> None:
        """Answer with a list of explanations."""
        kind = self.get_query_argument('kind')
        subject = self.get_query_argument('id')
        self.write_json(self.context.explain(kind, subject))


class DocumentsHandler(OperationsHandler):
    """Takes over a document that the store has accepted."""

    def post(self) -> None:
        """Offer a document, msgpack in the body; 400 if it is malformed."""
        try:
            document = records.decode(self.request.body, documents.Document)
            newer = self.context.documents.offer(document)
        except msgspec.DecodeError as error:
            self.set_status(http.HTTPStatus.BAD_REQUEST)
            self.write_json({'code': 'invalid', 'message': str(error)})
            return
        self.write_json({'newer': newer})
