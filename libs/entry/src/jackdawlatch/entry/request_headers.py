"""Parses and validates the request headers that the entry interprets."""

import dataclasses
import re
import uuid
from collections.abc import Callable

from returns import result
from tornado import httputil

from jackdawlatch.entry import invalid_requests
from jackdawlatch.model import failures, work

TIMEOUT_HEADER = 'Request-Timeout'
PRIORITY_HEADER = 'Priority'
TEAM_HEADER = 'X-Team'
REQUEST_ID_HEADER = 'X-Request-Id'
KEY_HEADER = 'Idempotency-Key'

DEFAULT_TIMEOUT_S: float = 30
MAX_TIMEOUT_S = 3600
DEFAULT_TEAM = 'default'
DEFAULT_LEVEL = 3
MAX_URGENT_LEVEL = 1
MAX_NORMAL_LEVEL = 4

_SECONDS = re.compile(r'^-?\d{1,10}(\.\d{1,9})?$')
_URGENCY = re.compile(r'^u=([0-7])$')
_NAME = re.compile(r'^[a-z][a-z0-9-]{0,62}$')
_TOKEN = re.compile(r'^[\x21-\x7e]{1,128}$')


@dataclasses.dataclass(frozen=True)
class Options:
    """The parsed headers; ``timeout_s`` is in seconds from the arrival."""

    timeout_s: float
    urgency: work.Urgency
    team: str
    request_id: str
    key: str


@dataclasses.dataclass(frozen=True)
class HeaderRule:
    """How a header is validated; it may be given at most once."""

    name: str
    expected: str
    is_valid: Callable[[str], bool]


def parse(
    headers: httputil.HTTPHeaders,
) -> result.Result[Options, failures.Invalid]:
    """Return the parsed headers, or the first one that is malformed."""
    for rule in RULES:
        given = headers.get_list(rule.name)
        if len(given) > 1 or not all(rule.is_valid(text) for text in given):
            return result.Failure(_malformed(rule))
    priority = headers.get(PRIORITY_HEADER, '')
    return result.Success(
        Options(
            timeout_s=float(headers.get(TIMEOUT_HEADER, DEFAULT_TIMEOUT_S)),
            urgency=_urgency(_level(priority)),
            team=headers.get(TEAM_HEADER, DEFAULT_TEAM),
            request_id=headers.get(REQUEST_ID_HEADER, uuid.uuid4().hex),
            key=headers.get(KEY_HEADER, ''),
        )
    )


def _level(priority: str) -> int:
    """Return the urgency level of an RFC 9218 field, -1 if malformed."""
    for member in priority.split(','):
        if member.strip().startswith('u'):
            match = _URGENCY.match(member.strip())
            return int(match.group(1)) if match else -1
    return DEFAULT_LEVEL


def _urgency(level: int) -> work.Urgency:
    if level <= MAX_URGENT_LEVEL:
        return work.Urgency.URGENT
    return (
        work.Urgency.NORMAL if level <= MAX_NORMAL_LEVEL else work.Urgency.BATCH
    )


def _is_timeout(text: str) -> bool:
    return bool(_SECONDS.match(text)) and float(text) <= MAX_TIMEOUT_S


def _is_token(text: str) -> bool:
    return bool(_TOKEN.match(text))


RULES = (
    HeaderRule(TIMEOUT_HEADER, 'seconds from 0.001 to 3600', _is_timeout),
    HeaderRule(
        PRIORITY_HEADER,
        'u=0 to u=7, as in RFC 9218',
        lambda text: _level(text) >= 0,
    ),
    HeaderRule(
        TEAM_HEADER,
        'a-z, then up to 62 of a-z, 0-9 and -',
        lambda text: bool(_NAME.match(text)),
    ),
    HeaderRule(REQUEST_ID_HEADER, '1 to 128 visible ASCII', _is_token),
    HeaderRule(KEY_HEADER, '1 to 128 visible ASCII', _is_token),
)


def _malformed(rule: HeaderRule) -> failures.Invalid:
    return invalid_requests.MalformedHeader(
        message=f'{rule.name} is malformed',
        hint=f'give one {rule.name}: {rule.expected}',
        path=rule.name,
        expected=rule.expected,
    )
