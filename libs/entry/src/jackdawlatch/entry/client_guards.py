"""The bounds of what callers may use in the entry, and its refusals.

Load pattern: many clients that send large or slow requests and stay open.
"""

import resource
import uuid
from typing import ClassVar

from tornado import httputil

from jackdawlatch.entry import (
    answers,
    invalid_requests,
    request_headers,
    settings,
    shared_dependencies,
)
from jackdawlatch.listeners import bounds, closings, guard, refusals, roster
from jackdawlatch.model import failures
from jackdawlatch.policy import unfinished
from jackdawlatch.telemetry import decisions

MEGABYTE = 1024 * 1024
MAX_HEADER_BYTES = 65_536
RECEIVE_BUFFER_BYTES = 16_384
# A body is forwarded as it is: it is held as read and as passed to libcurl.
HANDLER_FACTOR = 2
# Kept for runners, the store and other processes.
RESERVED_DESCRIPTORS = 400
MIN_CONNECTIONS = 16
# Callers keep connections open between requests.  Memory is bounded by the
# budget, so these only have to end what nobody uses any more.
HEADER_TIMEOUT_S = 30
IDLE_TIMEOUT_S = 300
MIN_BYTES_PER_S = 1024


class Overloaded(failures.NotRun, frozen=True, kw_only=True):
    """The requests of all callers take too much memory."""

    code: ClassVar[str] = 'clients-overload'


class ProblemRefusals(refusals.Refusals):
    """Refuses a request like the entry's handlers do."""

    def too_large(
        self, headers: httputil.HTTPHeaders, limit: int
    ) -> refusals.Refusal:
        """Return the refusal of a body over the limit."""
        return _refusal(
            invalid_requests.BodyTooLarge(
                message='the body is over the limit',
                hint=f'send at most {limit} bytes',
                expected=f'at most {limit} bytes',
            ),
            headers,
        )

    def overloaded(self, headers: httputil.HTTPHeaders) -> refusals.Refusal:
        """Return the refusal of a request that is only too much now."""
        return _refusal(
            Overloaded(
                message='too many large requests',
                retry_after_s=refusals.RETRY_AFTER_S,
            ),
            headers,
        )


def create(
    entry_settings: settings.Entry,
    dependencies: shared_dependencies.Dependencies,
    log: decisions.DecisionLog,
) -> guard.Guard:
    """Return the guard of the server for callers."""
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    limits = bounds.Bounds(
        max_connections=min(
            entry_settings.max_connections,
            max(descriptors - RESERVED_DESCRIPTORS, MIN_CONNECTIONS),
        ),
        budget_bytes=entry_settings.clients_mb * MEGABYTE,
        max_body_bytes=entry_settings.body_limit_bytes,
        max_header_bytes=MAX_HEADER_BYTES,
        receive_buffer_bytes=RECEIVE_BUFFER_BYTES,
        pace=unfinished.Pace(
            header_timeout_s=HEADER_TIMEOUT_S,
            idle_timeout_s=IDLE_TIMEOUT_S,
            min_bytes_per_s=MIN_BYTES_PER_S,
        ),
        handler_factor=HANDLER_FACTOR,
    )
    instruments = dependencies.meters
    clients = guard.Guard(
        roster.Roster(
            limits,
            dependencies.clock,
            closings.Closings('front', instruments, log),
        ),
        ProblemRefusals(),
    )
    instruments.gauge('front_connections', lambda: len(clients.roster))
    instruments.gauge('front_request_bytes', lambda: clients.held_bytes)
    return clients


def _refusal(
    problem: failures.Problem, headers: httputil.HTTPHeaders
) -> refusals.Refusal:
    request_id = request_headers.parse(headers).map(
        lambda options: options.request_id
    )
    reply = answers.failure_reply(
        problem, request_id.value_or(uuid.uuid4().hex)
    )
    return refusals.Refusal(reply.headers, reply.body)
