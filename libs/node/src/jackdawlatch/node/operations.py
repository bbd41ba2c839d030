"""HTTP interface of a daemon for operators and the load balancer."""

from jackdawlatch.listeners import guard
from jackdawlatch.listeners import server as bounded_server
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


def server(
    context: contexts.Context, clients: guard.Guard
) -> bounded_server.BoundedServer:
    """Return the server of the operations address; it does not listen yet."""
    return bounded_server.create(
        [(path, handler, {'context': context}) for path, handler in ROUTES],
        clients,
    )
