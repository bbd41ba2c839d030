"""HTTP client of the runners, on libcurl through tornado's client.

libcurl resends a request by itself if a reused connection closes before the
first byte of the response.  Non-idempotent requests therefore always use a new
connection, and they are never sent twice.
"""

import asyncio
import dataclasses

import pycurl
from returns import result
from tornado import curl_httpclient, httpclient, httputil

from jackdawlatch.backends import (
    http_headers,
    runners,
    silent_addresses,
    transfers,
)
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


@dataclasses.dataclass
class Transfer:
    """The state of one exchange.

    ``limit_s`` is a time on the monotonic clock.  ``sent`` is set before the
    first byte is sent, so no byte has been sent while it is false.
    """

    clock: clocks.Clock
    request: work.Request
    limit_s: float
    check: silent_addresses.ConnectionCheck
    sent: bool = False
    too_late: bool = False
    curl: pycurl.Curl | None = None

    def prepare(self, curl: pycurl.Curl) -> None:
        """Set curl options that tornado's client does not offer."""
        self.curl = curl
        self.check.prepare(curl)
        curl.setopt(pycurl.PREREQFUNCTION, self.allow_send)
        curl.setopt(pycurl.PATH_AS_IS, 1)
        curl.setopt(pycurl.MAXAGE_CONN, IDLE_CONNECTION_S)
        # An empty proxy stops libcurl from using the environment's proxy.
        curl.setopt(pycurl.PROXY, '')
        if not self.request.idempotent:
            curl.setopt(pycurl.FRESH_CONNECT, 1)
            curl.setopt(pycurl.FORBID_REUSE, 1)

    def allow_send(
        self,
        _remote_ip: bytes,
        _local_ip: bytes,
        _remote_port: int,
        local_port: int,
    ) -> int:
        """Decide, as a curl callback, whether the request may be sent now."""
        if self.sent and not self.request.idempotent:
            return pycurl.PREREQFUNC_ABORT
        if self._expired():
            self.too_late = True
            return pycurl.PREREQFUNC_ABORT
        if not self.check.admits(local_port):
            return pycurl.PREREQFUNC_ABORT
        self.sent = True
        return pycurl.PREREQFUNC_OK

    def _expired(self) -> bool:
        past_deadline = self.clock.wall_s() >= self.request.deadline_s
        return past_deadline or self.clock.monotonic_s() >= self.limit_s


class HttpRunners(runners.Runners):
    """Sends requests to runners over HTTP.

    ``max_answer_bytes`` limits the size of an answer's body.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        max_exchanges: int = MAX_EXCHANGES,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
    ) -> None:
        self._clock = clock
        self._silent = silent_addresses.SilentAddresses(clock.monotonic_s)
        self._client = transfers.CancellableClient(
            force_instance=True,
            max_clients=max_exchanges,
            max_body_size=max_answer_bytes,
        )

    async def exchange(
        self, address: str, request: work.Request, timeout_s: float
    ) -> runners.ExchangeResult:
        """Send a request once to the runner at a base URL."""
        if timeout_s < MIN_TIMEOUT_S:
            return result.Failure(
                runners.TooLate(message='no time is left to send the request')
            )
        transfer = Transfer(
            self._clock,
            request,
            self._clock.monotonic_s() + timeout_s,
            silent_addresses.ConnectionCheck(self._silent, address),
        )
        exchanged = await self._exchange(transfer, address, timeout_s)
        while transfer.check.stale:
            exchanged = await self._exchange(transfer, address, timeout_s)
        return exchanged

    def close(self) -> None:
        """Close every connection."""
        self._client.close()

    async def _exchange(
        self, transfer: Transfer, address: str, timeout_s: float
    ) -> runners.ExchangeResult:
        try:
            response = await self._fetch(transfer, address, timeout_s)
        except curl_httpclient.CurlError as error:
            return result.Failure(_classify_error(transfer, error))
        except ValueError as error:
            # Raised before sending, by a malformed header or URL.
            return result.Failure(runners.Unsendable(message=str(error)))
        transfer.check.record_answer()
        return _interpret(transfer.request, response)

    async def _fetch(
        self, transfer: Transfer, address: str, timeout_s: float
    ) -> httpclient.HTTPResponse:
        outgoing = _client_request(address, transfer, timeout_s)
        fetching = self._client.fetch(outgoing, raise_error=False)
        fetching.add_done_callback(asyncio.Future.exception)
        try:
            return await asyncio.shield(fetching)
        except asyncio.CancelledError:
            if transfer.curl:
                self._client.abort(transfer.curl, outgoing)
            raise


def _client_request(
    address: str, transfer: Transfer, timeout_s: float
) -> httpclient.HTTPRequest:
    request = transfer.request
    headers = httputil.HTTPHeaders()
    for name, text in http_headers.request_headers(request.headers):
        headers.add(name, text)
    for unset in UNSET_HEADERS:
        # An empty value stops libcurl from adding its default.
        if unset not in headers:
            headers[unset] = ''
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


def _classify_error(
    transfer: Transfer, error: curl_httpclient.CurlError
) -> failures.NotRun | failures.OutcomeUnknown:
    message = str(error.message)
    if not transfer.sent:
        if transfer.too_late:
            return runners.TooLate(message='the deadline has passed')
        return runners.Unreachable(message=message)
    if error.errno == pycurl.E_OPERATION_TIMEDOUT:
        transfer.check.record_timeout()
        return runners.LateAnswer(message=message)
    return runners.NoWholeAnswer(message=message)


def _interpret(
    request: work.Request, response: httpclient.HTTPResponse
) -> runners.ExchangeResult:
    if response.code == NOT_RUN_STATUS:
        reason = response.headers.get(NOT_RUN_HEADER)
        if reason is not None:
            return result.Failure(_not_run(reason))
    if not _is_framed(request, response):
        return result.Failure(
            runners.NoWholeAnswer(message='the answer has no stated length')
        )
    headers = http_headers.end_to_end(response.headers.get_all())
    return result.Success(
        work.Answer(
            status=response.code,
            headers=tuple(pair for pair in headers if pair[0] != REASON_HEADER),
            body=response.body,
        )
    )


def _not_run(reason: str) -> failures.NotRun:
    if reason.strip().lower() == LEAVING:
        return runners.Leaving(message='the target is leaving')
    return runners.Busy(message='the target has no free slot')


def _is_framed(
    request: work.Request, response: httpclient.HTTPResponse
) -> bool:
    """Return whether the end of the body is known, so it is complete."""
    if request.method == 'HEAD' or response.code in NO_CONTENT_STATUSES:
        return True
    if response.code < FIRST_FINAL_STATUS:
        return False
    headers = response.headers
    return 'Content-Length' in headers or 'Transfer-Encoding' in headers
