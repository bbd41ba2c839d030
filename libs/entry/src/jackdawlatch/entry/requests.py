"""Turns what a caller sent into a checked request."""

import dataclasses
import re
import uuid
from collections.abc import Collection

from returns import result
from tornado import httputil

from jackdawlatch.entry import refusals
from jackdawlatch.model import failures, work

SERVICES_PREFIX = '/services/'
IDEMPOTENT_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE'))
BODILESS_METHODS = frozenset(('GET', 'HEAD'))

TIMEOUT_HEADER = 'Request-Timeout'
PRIORITY_HEADER = 'Priority'
TEAM_HEADER = 'X-Team'
REQUEST_ID_HEADER = 'X-Request-Id'
KEY_HEADER = 'Idempotency-Key'

DEFAULT_TIMEOUT_S: float = 30
MAX_TIMEOUT_S = 3600
DEFAULT_TEAM = 'default'
DEFAULT_URGENCY = 3
MAX_URGENT = 1
MAX_NORMAL = 4

_SECONDS = re.compile(r'^-?\d{1,10}(\.\d{1,9})?$')
_URGENCY = re.compile(r'^u=([0-7])$')
_NAME = re.compile(r'^[a-z][a-z0-9-]{0,62}$')
_TOKEN = re.compile(r'^[\x21-\x7e]{1,128}$')

Parsed = result.Result[work.Request, failures.Invalid]


@dataclasses.dataclass(frozen=True)
class Received:
    """A caller's request as it was read, with the time it arrived at."""

    method: str
    uri: str
    headers: httputil.HTTPHeaders
    body: bytes
    arrived_s: float


@dataclasses.dataclass(frozen=True)
class Options:
    """The checked headers that steer a request; ``timeout_s`` is relative."""

    timeout_s: float
    urgency: work.Urgency
    team: str
    request_id: str
    key: str


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
    return options(received.headers).bind(
        lambda chosen: _request(received, service, path, chosen)
    )


def options(
    headers: httputil.HTTPHeaders,
) -> result.Result[Options, failures.Invalid]:
    """Return the checked headers that steer a request, or the first fault."""
    for name in (
        TIMEOUT_HEADER,
        PRIORITY_HEADER,
        TEAM_HEADER,
        REQUEST_ID_HEADER,
        KEY_HEADER,
    ):
        if len(headers.get_list(name)) > 1:
            return _malformed(name, 'one such header')
    timeout = headers.get(TIMEOUT_HEADER, str(DEFAULT_TIMEOUT_S))
    if not _SECONDS.match(timeout) or float(timeout) > MAX_TIMEOUT_S:
        return _malformed(TIMEOUT_HEADER, 'seconds from 0.001 to 3600')
    urgency = _urgency(headers.get(PRIORITY_HEADER, ''))
    if urgency is None:
        return _malformed(PRIORITY_HEADER, 'u=0 to u=7, as in RFC 9218')
    team = headers.get(TEAM_HEADER, DEFAULT_TEAM)
    if not _NAME.match(team):
        return _malformed(TEAM_HEADER, 'a-z, then up to 62 of a-z, 0-9 and -')
    request_id = headers.get(REQUEST_ID_HEADER) or uuid.uuid4().hex
    if not _TOKEN.match(request_id):
        return _malformed(REQUEST_ID_HEADER, '1 to 128 visible ASCII')
    key = headers.get(KEY_HEADER)
    if key is not None and not _TOKEN.match(key):
        return _malformed(KEY_HEADER, '1 to 128 visible ASCII')
    return result.Success(
        Options(float(timeout), urgency, team, request_id, key or '')
    )


def _target(uri: str) -> tuple[str, str]:
    """Return the service and the target's path, query included."""
    rest = uri.removeprefix(SERVICES_PREFIX)
    service = re.split('[/?]', rest, maxsplit=1)[0]
    path = rest[len(service) :]
    return service, path if path.startswith('/') else f'/{path}'


def _request(
    received: Received, service: str, path: str, chosen: Options
) -> Parsed:
    if chosen.timeout_s <= 0:
        return result.Failure(
            refusals.DeadlinePassed(
                message='the deadline had passed on arrival',
                hint='give the seconds that are left',
                path=TIMEOUT_HEADER,
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
            headers=_passed_on(received.headers, chosen),
            body=received.body,
            deadline_s=received.arrived_s + chosen.timeout_s,
            key=chosen.key,
            idempotent=received.method in IDEMPOTENT_METHODS,
        )
    )


def _passed_on(
    headers: httputil.HTTPHeaders, chosen: Options
) -> tuple[tuple[str, str], ...]:
    return (
        *(
            pair
            for pair in headers.get_all()
            if pair[0].lower() != REQUEST_ID_HEADER.lower()
        ),
        (REQUEST_ID_HEADER, chosen.request_id),
    )


def _urgency(text: str) -> work.Urgency | None:
    """Return the urgency of an RFC 9218 field, None when malformed."""
    level = DEFAULT_URGENCY
    for member in text.split(','):
        if not member.strip().startswith('u'):
            continue
        match = _URGENCY.match(member.strip())
        if match is None:
            return None
        level = int(match.group(1))
    if level <= MAX_URGENT:
        return work.Urgency.URGENT
    return work.Urgency.NORMAL if level <= MAX_NORMAL else work.Urgency.BATCH


def _malformed(
    name: str, expected: str
) -> result.Result[Options, failures.Invalid]:
    return result.Failure(
        refusals.MalformedHeader(
            message=f'{name} is malformed',
            hint=f'{name} takes {expected}',
            path=name,
            expected=expected,
        )
    )
