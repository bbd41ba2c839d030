"""Runners met over HTTP, with curl through tornado's client.

libcurl sends a request again by itself when a reused connection ends before
the first byte of the answer.  Non-idempotent requests therefore never go out
on a reused connection, and a request that was sent once is not sent again.
"""

import asyncio
import dataclasses

import pycurl
from returns import result
from tornado import curl_httpclient, httpclient, httputil

from jackdawlatch.backends import hops, runners
from jackdawlatch.model import clocks, failures, work

CONNECT_TIMEOUT_S = 1.0
MIN_TIMEOUT_S = 0.001
IDLE_CONNECTION_S = 5
MAX_EXCHANGES = 256
MAX_ANSWER_BYTES = 2 * 1024 * 1024

UNSET_HEADERS = ('Accept', 'Content-Type', 'User-Agent')
NO_CONTENT_STATUSES = frozenset((204, 304))
FIRST_FINAL_STATUS = 200
NOT_RUN_STATUS = 503
NOT_RUN_HEADER = 'X-Not-Run'
REASON_HEADER = 'X-Http-Reason'
LEAVING = 'leaving'


class CancellableClient(curl_httpclient.CurlAsyncHTTPClient):
    """Tornado's curl client, with transfers that can be given up."""

    def abandon(self, curl: pycurl.Curl, asked: httpclient.HTTPRequest) -> None:
        """End the transfer of a request at once and close its connection."""
        # Tornado keeps what a handle works on in this attribute.
        info = getattr(curl, 'info', None)
        if info and info['request'].request is asked:
            self._finish(curl, pycurl.E_ABORTED_BY_CALLBACK, 'abandoned')


@dataclasses.dataclass
class Transfer:
    """How far one exchange has come.

    ``limit_s`` is on the monotonic clock.  ``sent`` turns true just before
    the first byte is sent, and nothing is sent without it.
    """

    clock: clocks.Clock
    request: work.Request
    limit_s: float
    sent: bool = False
    too_late: bool = False
    curl: pycurl.Curl | None = None

    def prepare(self, curl: pycurl.Curl) -> None:
        """Set the options that tornado's client has no name for."""
        self.curl = curl
        curl.setopt(pycurl.PREREQFUNCTION, self.permit)
        curl.setopt(pycurl.PATH_AS_IS, 1)
        curl.setopt(pycurl.MAXAGE_CONN, IDLE_CONNECTION_S)
        # An empty proxy keeps libcurl from reading one from the environment.
        curl.setopt(pycurl.PROXY, '')
        if not self.request.idempotent:
            curl.setopt(pycurl.FRESH_CONNECT, 1)
            curl.setopt(pycurl.FORBID_REUSE, 1)

    def permit(self, *_addresses: object) -> int:
        """Say whether the request may be sent on an open connection."""
        if self.sent and not self.request.idempotent:
            return pycurl.PREREQFUNC_ABORT
        if self._expired():
            self.too_late = True
            return pycurl.PREREQFUNC_ABORT
        self.sent = True
        return pycurl.PREREQFUNC_OK

    def _expired(self) -> bool:
        late = self.clock.wall_s() >= self.request.deadline_s
        return late or self.clock.monotonic_s() >= self.limit_s


class HttpRunners(runners.Runners):
    """Sends requests to runners over HTTP."""

    def __init__(
        self,
        clock: clocks.Clock,
        max_exchanges: int = MAX_EXCHANGES,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
    ) -> None:
        self._clock = clock
        self._client = CancellableClient(
            force_instance=True,
            max_clients=max_exchanges,
            max_body_size=max_answer_bytes,
        )

    async def exchange(
        self, address: str, request: work.Request, timeout_s: float
    ) -> runners.Exchanged:
        """Send a request once to the runner at a base URL."""
        if timeout_s < MIN_TIMEOUT_S:
            return result.Failure(
                runners.TooLate(message='no time is left to send the request')
            )
        transfer = Transfer(
            self._clock, request, self._clock.monotonic_s() + timeout_s
        )
        try:
            answered = await self._fetch(transfer, address, timeout_s)
        except curl_httpclient.CurlError as error:
            return result.Failure(_failure(transfer, error))
        except ValueError as error:
            # Raised while the request was set up: a malformed header or URL.
            return result.Failure(runners.Unsendable(message=str(error)))
        return _judge(request, answered)

    def close(self) -> None:
        """Close every connection."""
        self._client.close()

    async def _fetch(
        self, transfer: Transfer, address: str, timeout_s: float
    ) -> httpclient.HTTPResponse:
        asked = _client_request(address, transfer, timeout_s)
        fetching = self._client.fetch(asked, raise_error=False)
        fetching.add_done_callback(asyncio.Future.exception)
        try:
            return await asyncio.shield(fetching)
        except asyncio.CancelledError:
            if transfer.curl:
                self._client.abandon(transfer.curl, asked)
            raise


def _client_request(
    address: str, transfer: Transfer, timeout_s: float
) -> httpclient.HTTPRequest:
    request = transfer.request
    headers = httputil.HTTPHeaders()
    for name, text in hops.to_target(request.headers):
        headers.add(name, text)
    for absent in UNSET_HEADERS:
        # An empty value keeps libcurl from adding one of its own.
        if absent not in headers:
            headers[absent] = ''
    has_body = bool(request.body) or request.method in {'POST', 'PUT', 'PATCH'}
    return httpclient.HTTPRequest(
        f'{address}{request.path}',
        method=request.method,
        headers=headers,
        body=request.body if has_body else None,
        connect_timeout=min(timeout_s, CONNECT_TIMEOUT_S),
        request_timeout=timeout_s,
        follow_redirects=False,
        decompress_response=False,
        allow_nonstandard_methods=True,
        prepare_curl_callback=transfer.prepare,
    )


def _failure(
    transfer: Transfer, error: curl_httpclient.CurlError
) -> failures.NotRun | failures.OutcomeUnknown:
    message = str(error.message)
    if not transfer.sent:
        if transfer.too_late:
            return runners.TooLate(message='the deadline has passed')
        return runners.Unreachable(message=message)
    if error.errno == pycurl.E_OPERATION_TIMEDOUT:
        return runners.LateAnswer(message=message)
    return runners.NoWholeAnswer(message=message)


def _judge(
    request: work.Request, answered: httpclient.HTTPResponse
) -> runners.Exchanged:
    if answered.code == NOT_RUN_STATUS:
        word = answered.headers.get(NOT_RUN_HEADER)
        if word is not None:
            return result.Failure(_not_run(word))
    if not _is_framed(request, answered):
        return result.Failure(
            runners.NoWholeAnswer(message='the answer has no stated length')
        )
    headers = hops.end_to_end(answered.headers.get_all())
    return result.Success(
        work.Answer(
            status=answered.code,
            headers=tuple(pair for pair in headers if pair[0] != REASON_HEADER),
            body=answered.body,
        )
    )


def _not_run(word: str) -> failures.NotRun:
    if word.strip().lower() == LEAVING:
        return runners.Leaving(message='the target is leaving')
    return runners.Busy(message='the target has no free slot')


def _is_framed(
    request: work.Request, answered: httpclient.HTTPResponse
) -> bool:
    """Tell whether the end of the body could be told from a lost one."""
    if request.method == 'HEAD' or answered.code in NO_CONTENT_STATUSES:
        return True
    if answered.code < FIRST_FINAL_STATUS:
        return False
    headers = answered.headers
    return 'Content-Length' in headers or 'Transfer-Encoding' in headers
