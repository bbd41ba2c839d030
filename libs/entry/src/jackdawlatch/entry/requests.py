"""Validates a caller's HTTP request and converts it for dispatch."""

import dataclasses
import re
from collections.abc import Collection

from returns import result
from tornado import httputil

from jackdawlatch.entry import invalid_requests, request_headers
from jackdawlatch.model import failures, work

SERVICES_PREFIX = '/services/'
IDEMPOTENT_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE'))
BODILESS_METHODS = frozenset(('GET', 'HEAD'))

SERVICE_HEADER = 'X-Service'
# The entry sets these headers itself; the caller's values are dropped.
RESERVED_HEADERS = frozenset(
    (request_headers.REQUEST_ID_HEADER.lower(), SERVICE_HEADER.lower())
)

Parsed = result.Result[work.Request, failures.Invalid]


@dataclasses.dataclass(frozen=True)
class ReceivedRequest:
    """A caller's request as it was read.

    ``arrived_s`` is in seconds since the epoch.
    """

    method: str
    uri: str
    headers: httputil.HTTPHeaders
    body: bytes
    arrived_s: float


def parse(received: ReceivedRequest, services: Collection[str]) -> Parsed:
    """Return the validated request, or why it is not accepted."""
    service, path = _split_uri(received.uri)
    if service not in services:
        return result.Failure(
            invalid_requests.UnknownService(
                message=f'no service is named {service!r}',
                hint='use /services/<service>/<path>',
                path=received.uri,
                expected='a service of the configuration',
            )
        )
    if received.body and received.method in BODILESS_METHODS:
        return result.Failure(
            invalid_requests.BodyNotAllowed(
                message=f'{received.method} must not have a body',
                hint='send it with POST, PUT or PATCH',
            )
        )
    return request_headers.parse(received.headers).bind(
        lambda options: _request(received, service, path, options)
    )


def _split_uri(uri: str) -> tuple[str, str]:
    """Return the service, and the target's path with its query."""
    rest = uri.removeprefix(SERVICES_PREFIX)
    service = re.split('[/?]', rest, maxsplit=1)[0]
    path = rest[len(service) :]
    return service, path if path.startswith('/') else f'/{path}'


def _request(
    received: ReceivedRequest,
    service: str,
    path: str,
    options: request_headers.Options,
) -> Parsed:
    if options.timeout_s <= 0:
        return result.Failure(
            invalid_requests.DeadlinePassed(
                message='the deadline had passed on arrival',
                hint='give the number of seconds left',
                path=request_headers.TIMEOUT_HEADER,
                expected='more than 0',
            )
        )
    return result.Success(
        work.Request(
            id=options.request_id,
            kind=work.Kind(
                service=service, team=options.team, urgency=options.urgency
            ),
            method=received.method,
            path=path,
            headers=_forwarded_headers(received.headers, service, options),
            body=received.body,
            deadline_s=received.arrived_s + options.timeout_s,
            key=options.key,
            idempotent=received.method in IDEMPOTENT_METHODS,
        )
    )


def _forwarded_headers(
    headers: httputil.HTTPHeaders,
    service: str,
    options: request_headers.Options,
) -> tuple[tuple[str, str], ...]:
    return (
        *(
            pair
            for pair in headers.get_all()
            if pair[0].lower() not in RESERVED_HEADERS
        ),
        (SERVICE_HEADER, service),
        (request_headers.REQUEST_ID_HEADER, options.request_id),
    )
