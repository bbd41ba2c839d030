"""Converts the outcome of a request to an HTTP reply."""

import dataclasses
import math
import types
from collections.abc import Mapping

import msgspec
from returns import result

from jackdawlatch.model import failures, records, work

OUTCOME_HEADER = 'Jackdawlatch-Outcome'
ANSWERED = 'answered'
NOT_RUN = 'not-run'
OUTCOME_UNKNOWN = 'outcome-unknown'

REQUEST_ID_HEADER = 'X-Request-Id'
LENGTH_HEADER = 'content-length'
PROBLEM_TYPE = 'application/problem+json'
TYPE_PREFIX = 'urn:jackdawlatch:problem:'

BAD_REQUEST = 400
NOT_RUN_STATUS = 503
UNKNOWN_STATUS = 502
STATUSES_BY_CODE: Mapping[str, int] = types.MappingProxyType(
    {
        'service-unknown': 404,
        'path-unknown': 404,
        'job-unknown': 404,
        'method-not-allowed': 405,
        'body-too-large': 413,
        'deadline-past': 422,
        'idempotency-key-reused': 422,
        'job-key-reused': 422,
        'job-impossible': 422,
        'queue-full': 429,
        'answer-late': 504,
        'still-running': 504,
    }
)
# The entry sets these headers itself; a target's values are dropped.
_RESERVED_HEADERS = frozenset(
    (OUTCOME_HEADER.lower(), REQUEST_ID_HEADER.lower(), LENGTH_HEADER)
)

Headers = tuple[tuple[str, str], ...]


class ProblemBody(records.Record, frozen=True, kw_only=True):
    """The JSON body of a failure (RFC 9457)."""

    type: str
    title: str
    status: int
    detail: str
    code: str
    hint: str
    request_id: str


@dataclasses.dataclass(frozen=True)
class Reply:
    """The HTTP reply to a caller."""

    status: int
    headers: Headers
    body: bytes


def reply_of(
    outcome: result.Result[work.Answer, failures.Problem],
    request: work.Request,
) -> Reply:
    """Return the reply for the outcome of a request."""
    request_id = request.id
    if isinstance(outcome, result.Success):
        reply = _answered(outcome.unwrap(), request_id)
        if request.method == 'HEAD':
            # Keep the length of the body that is not sent.
            return _with_length(reply, outcome.unwrap())
        return reply
    return failure_reply(outcome.failure(), request_id)


def failure_reply(failure: failures.Problem, request_id: str) -> Reply:
    """Return the reply for a failure, as problem details (RFC 9457)."""
    status = _status_of(failure)
    unknown = isinstance(failure, failures.OutcomeUnknown)
    outcome = OUTCOME_UNKNOWN if unknown else NOT_RUN
    body = ProblemBody(
        type=f'{TYPE_PREFIX}{failure.code}',
        title=outcome,
        status=status,
        detail=failure.message,
        code=failure.code,
        hint=failure.hint,
        request_id=request_id,
    )
    headers = (
        (OUTCOME_HEADER, outcome),
        (REQUEST_ID_HEADER, request_id),
        ('Content-Type', PROBLEM_TYPE),
        *_retry_after(failure),
    )
    return Reply(status, headers, msgspec.json.encode(body))


def json_reply(status: int, record: records.Record, request_id: str) -> Reply:
    """Return a reply with a JSON body, made by the entry itself."""
    headers = (
        (OUTCOME_HEADER, ANSWERED),
        (REQUEST_ID_HEADER, request_id),
        ('Content-Type', 'application/json'),
    )
    return Reply(status, headers, msgspec.json.encode(record))


def _answered(answer: work.Answer, request_id: str) -> Reply:
    forwarded = tuple(
        pair
        for pair in answer.headers
        if pair[0].lower() not in _RESERVED_HEADERS
    )
    entry_headers = (
        (OUTCOME_HEADER, ANSWERED),
        (REQUEST_ID_HEADER, request_id),
    )
    return Reply(answer.status, (*forwarded, *entry_headers), answer.body)


def _with_length(reply: Reply, answer: work.Answer) -> Reply:
    lengths = [
        pair for pair in answer.headers if pair[0].lower() == LENGTH_HEADER
    ]
    return dataclasses.replace(reply, headers=(*reply.headers, *lengths[:1]))


def _status_of(failure: failures.Problem) -> int:
    if isinstance(failure, failures.OutcomeUnknown):
        fallback = UNKNOWN_STATUS
    elif isinstance(failure, failures.Invalid):
        fallback = BAD_REQUEST
    else:
        fallback = NOT_RUN_STATUS
    return STATUSES_BY_CODE.get(failure.code, fallback)


def _retry_after(failure: failures.Problem) -> Headers:
    if isinstance(failure, failures.NotRun) and failure.retry_after_s > 0:
        return (('Retry-After', str(math.ceil(failure.retry_after_s))),)
    return ()
