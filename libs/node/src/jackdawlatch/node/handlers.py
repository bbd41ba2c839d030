"""Request handlers of a daemon's operations interface."""

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
    """Base class of the handlers."""

    context: contexts.Context

    def initialize(self, context: contexts.Context) -> None:
        """Store the context that the handlers read."""
        self.context = context

    def write_json(self, content: Any) -> None:
        """Write ``content`` as the JSON body of the response."""
        self.set_header('Content-Type', JSON)
        self.write(msgspec.json.encode(content))


class HealthHandler(OperationsHandler):
    """Health check: whether the process is alive."""

    def get(self) -> None:
        """Respond with 200."""
        self.write_json({'healthy': True})


class ReadyHandler(OperationsHandler):
    """Readiness check: whether the load balancer may send callers here."""

    def get(self) -> None:
        """Respond with 200 if ready, else with 503."""
        ready = self.context.ready()
        if not ready:
            self.set_status(http.HTTPStatus.SERVICE_UNAVAILABLE)
        self.write_json({'ready': ready})


class MetricsHandler(OperationsHandler):
    """The metrics of the process, for Prometheus."""

    def get(self) -> None:
        """Respond in the Prometheus exposition format."""
        self.set_header('Content-Type', meters.CONTENT_TYPE)
        self.write(self.context.meters.exposition())


class StatusHandler(OperationsHandler):
    """The state of the process."""

    def get(self) -> None:
        """Respond with the status record."""
        self.write_json(self.context.status())


class EventsHandler(OperationsHandler):
    """The latest events, for the timeline."""

    def get(self) -> None:
        """Respond with a list of events, oldest first."""
        self.write_json(self.context.ring.latest())


class ExplainHandler(OperationsHandler):
    """Explains the state of a subject: ``/explain?kind=host&id=h1``."""

    def get(self) -> None:
        """Respond with a list of explanations."""
        kind = self.get_query_argument('kind')
        subject = self.get_query_argument('id')
        self.write_json(self.context.explain(kind, subject))


class DocumentsHandler(OperationsHandler):
    """Receives a document that the store has accepted."""

    def post(self) -> None:
        """Apply the msgpack document in the body; 400 if it is malformed."""
        try:
            document = records.decode(self.request.body, documents.Document)
            newer = self.context.documents.apply(document)
        except msgspec.DecodeError as error:
            self.set_status(http.HTTPStatus.BAD_REQUEST)
            self.write_json({'code': 'invalid', 'message': str(error)})
            return
        self.write_json({'newer': newer})
