"""HTTP interface of a daemon for operators and the load balancer."""

from tornado import web

from jackdawlatch.node import context as contexts
from jackdawlatch.node import handlers

ROUTES = (
    ('/healthz', handlers.HealthHandler),
    ('/readyz', handlers.ReadyHandler),
    ('/metrics', handlers.MetricsHandler),
    ('/status', handlers.StatusHandler),
    ('/events', handlers.EventsHandler),
    ('/explain', handlers.ExplainHandler),
    ('/documents', handlers.DocumentsHandler),
)


def application(context: contexts.Context) -> web.Application:
    """Return the web application for the operations address."""
    return web.Application(
        [(path, handler, {'context': context}) for path, handler in ROUTES],
        log_function=_no_access_log,
    )


def _no_access_log(_handler: web.RequestHandler) -> None:
    """Write no access log; requests are only counted."""
