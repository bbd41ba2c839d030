"""Turns what a caller sent into a checked request."""

import dataclasses
import re
from collections.abc import Collection

from returns import result
from tornado import httputil

from jackdawlatch.entry import refusals, steering
from jackdawlatch.model import failures, work

SERVICES_PREFIX = '/services/'
IDEMPOTENT_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE'))
BODILESS_METHODS = frozenset(('GET', 'HEAD'))

SERVICE_HEADER = 'X-Service'
# What the entry says of a request itself, whatever the caller says.
OWN_HEADERS = frozenset(
    (steering.REQUEST_ID_HEADER.lower(), SERVICE_HEADER.lower())
)

Parsed = result.Result[work.Request, failures.Invalid]


@dataclasses.dataclass(frozen=True)
class Received:
    """A caller's request as it was read, with the time it arrived at."""

    method: str
    uri: str
    headers: httputil.HTTPHeaders
    body: bytes
    arrived_s: float


def parse(received: Received, services: Collection[str]) -> Parsed:
    """Return the request, or why it can't be taken."""
    service, path = _target(received.uri)
    if service not in services:
        return result.Failure(
            refusals.UnknownService(
                message=f'no service is named {service!r}',
                hint='ask for /services/<service>/<path>',
                path=received.uri,
                expected='a service of the configuration',
            )
        )
    if received.body and received.method in BODILESS_METHODS:
        return result.Failure(
            refusals.BodyNotAllowed(
                message=f'{received.method} has no body',
                hint='send it with POST, PUT or PATCH',
            )
        )
    return steering.options(received.headers).bind(
        lambda chosen: _request(received, service, path, chosen)
    )


def _target(uri: str) -> tuple[str, str]:
    """Return the service and the target's path, query included."""
    rest = uri.removeprefix(SERVICES_PREFIX)
    service = re.split('[/?]', rest, maxsplit=1)[0]
    path = rest[len(service) :]
    return service, path if path.startswith('/') else f'/{path}'


def _request(
    received: Received, service: str, path: str, chosen: steering.Options
) -> Parsed:
    if chosen.timeout_s <= 0:
        return result.Failure(
            refusals.DeadlinePassed(
                message='the deadline had passed on arrival',
                hint='give the seconds that are left',
                path=steering.TIMEOUT_HEADER,
                expected='more than 0',
            )
        )
    return result.Success(
        work.Request(
            id=chosen.request_id,
            kind=work.Kind(
                service=service, team=chosen.team, urgency=chosen.urgency
            ),
            method=received.method,
            path=path,
            headers=_passed_on(received.headers, service, chosen),
            body=received.body,
            deadline_s=received.arrived_s + chosen.timeout_s,
            key=chosen.key,
            idempotent=received.method in IDEMPOTENT_METHODS,
        )
    )


def _passed_on(
    headers: httputil.HTTPHeaders, service: str, chosen: steering.Options
) -> tuple[tuple[str, str], ...]:
    return (
        *(
            pair
            for pair in headers.get_all()
            if pair[0].lower() not in OWN_HEADERS
        ),
        (SERVICE_HEADER, service),
        (steering.REQUEST_ID_HEADER, chosen.request_id),
    )
