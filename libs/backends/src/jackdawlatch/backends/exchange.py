"""HTTP client that reports whether any byte of a request was sent.

libcurl silently resends a request, even a POST, if a reused connection closes
before the first byte of the response.  Its pre-request callback runs before
each sending.  Aborting at the second call allows reused connections and still
sends each request at most once.  The callback also refuses connections that may
have gone silent; the request is then sent on a new one.
"""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import ClassVar, TypeVar
from urllib import parse as urls

import msgspec
import pycurl
from returns import result
from tornado import curl_httpclient, httpclient, httputil

from jackdawlatch.backends import replies, silent_addresses, transfers
from jackdawlatch.model import decoding, failures

MAX_CONCURRENT = 64
CONNECT_TIMEOUT_S = 1.0

Body = TypeVar('Body')


def _always() -> bool:
    return True


class NotSent(failures.Problem, frozen=True, kw_only=True):
    """No byte of the request was sent, so it was not run."""

    code: ClassVar[str] = 'exchange-not-sent'


class Unanswered(failures.Problem, frozen=True, kw_only=True):
    """No complete response to a request that was sent; it may have run."""

    code: ClassVar[str] = 'exchange-unanswered'


class TooLarge(Unanswered, frozen=True, kw_only=True):
    """The response exceeds a bound; the request was sent and may have run."""

    code: ClassVar[str] = 'exchange-too-large'


Failed = NotSent | Unanswered


@dataclasses.dataclass(frozen=True)
class Outgoing:
    """A request to send.

    ``resend`` lets libcurl send it more than once.  ``permitted`` is asked just
    before the first byte: the request may have been queued, or the process
    paused, since the caller decided to send it.
    """

    url: str
    method: str = 'GET'
    body: bytes | None = None
    headers: tuple[tuple[str, str], ...] = ()
    timeout_s: float = 5
    connect_timeout_s: float = CONNECT_TIMEOUT_S
    resend: bool = False
    permitted: Callable[[], bool] = _always


@dataclasses.dataclass(frozen=True)
class Reply:
    """A complete response of any status."""

    status: int
    body: bytes
    headers: httputil.HTTPHeaders

    def json(self, body_type: type[Body]) -> result.Result[Body, Unanswered]:
        """Decode the JSON body; return ``Unanswered`` if it is malformed."""
        try:
            return result.Success(decoding.from_json(self.body, body_type))
        except msgspec.DecodeError as error:
            return result.Failure(Unanswered(message=str(error)))


class Client:
    """Sends at most ``max_concurrent`` requests at once and queues others.

    A response may have ``max_reply_bytes`` with its headers.  Clients that share
    a ``budget`` abort the largest unfinished responses beyond it.  Connections
    are added to ``counts``.  After a timeout, those that were open to the same
    address are not reused, nor by clients that share ``silent``.
    """

    def __init__(
        self,
        max_concurrent: int = MAX_CONCURRENT,
        max_reply_bytes: int = replies.MAX_REPLY_BYTES,
        budget: replies.Budget | None = None,
        counts: transfers.Counts | None = None,
        silent: silent_addresses.SilentAddresses | None = None,
    ) -> None:
        self._http = transfers.CancellableClient(
            force_instance=True, max_clients=max_concurrent
        )
        if counts is not None:
            self._http.counts = counts
        self._silent = silent or silent_addresses.SilentAddresses()
        self._max_reply_bytes = max_reply_bytes
        self._budget = budget or replies.Budget()
        self._closing = False
        self._in_flight: set[asyncio.Future[httpclient.HTTPResponse]] = set()

    async def send(self, outgoing: Outgoing) -> result.Result[Reply, Failed]:
        """Send a request and return its complete response."""
        check = silent_addresses.ConnectionCheck(
            self._silent, urls.urlsplit(outgoing.url).netloc
        )
        sent = await self._send(outgoing, check)
        while check.stale and not self._closing:
            sent = await self._send(outgoing, check)
        return sent

    def close(self) -> None:
        """Close every connection once no exchange is in flight."""
        self._closing = True
        if not self._in_flight:
            self._http.close()

    async def _send(
        self,
        outgoing: Outgoing,
        check: silent_addresses.ConnectionCheck,
    ) -> result.Result[Reply, Failed]:
        incoming = replies.Incoming(self._budget, self._max_reply_bytes)
        send_guard = _SendGuard(outgoing.resend, outgoing.permitted, check)

        def prepare(curl: pycurl.Curl) -> None:
            send_guard.prepare(curl)
            self._http.collect(curl, incoming)

        fetching = self._http.fetch(
            _request(outgoing, prepare), raise_error=False
        )
        # The transfer goes on to its end or timeout if the caller is cancelled.
        fetching.add_done_callback(self._finish)
        fetching.add_done_callback(lambda _done: incoming.finish())
        self._in_flight.add(fetching)
        try:
            response = await asyncio.shield(fetching)
        except httpclient.HTTPClientError as error:
            if incoming.problem:
                return result.Failure(TooLarge(message=incoming.problem))
            if _is_timeout(error):
                check.record_timeout()
            return result.Failure(send_guard.classify(error))
        check.record_answer()
        return result.Success(
            Reply(response.code, bytes(incoming.body), response.headers)
        )

    def _finish(
        self, fetching: asyncio.Future[httpclient.HTTPResponse]
    ) -> None:
        # Mark the exception as retrieved: a cancelled caller does not read it.
        fetching.exception()
        self._in_flight.discard(fetching)
        if self._closing and not self._in_flight:
            # libcurl is still handling the transfer that runs this callback.
            asyncio.get_running_loop().call_soon(self._http.close)


class _SendGuard:
    """Stops libcurl from sending a request twice, unless ``resend`` is set.

    It also stops a request that is no longer ``permitted``, or whose connection
    may have gone silent.
    """

    def __init__(
        self,
        resend: bool,
        permitted: Callable[[], bool],
        check: silent_addresses.ConnectionCheck,
    ) -> None:
        self._resend = resend
        self._permitted = permitted
        self._check = check
        self._sent = False

    def prepare(self, curl: pycurl.Curl) -> None:
        """Install the callback that runs before each sending."""
        # An empty proxy stops libcurl from using the environment's proxy.
        curl.setopt(pycurl.PROXY, '')
        self._check.prepare(curl)
        curl.setopt(pycurl.PREREQFUNCTION, self._before_request)

    def classify(self, error: httpclient.HTTPClientError) -> Failed:
        """Return the failure of a transfer, by whether anything was sent."""
        if self._sent:
            return Unanswered(message=str(error))
        return NotSent(message=str(error))

    def _before_request(
        self,
        _remote_ip: bytes,
        _local_ip: bytes,
        _remote_port: int,
        local_port: int,
    ) -> int:
        refused_resend = self._sent and not self._resend
        if refused_resend or not self._permitted():
            return pycurl.PREREQFUNC_ABORT
        if not self._check.admits(local_port):
            return pycurl.PREREQFUNC_ABORT
        self._sent = True
        return pycurl.PREREQFUNC_OK


def _is_timeout(error: httpclient.HTTPClientError) -> bool:
    return (
        isinstance(error, curl_httpclient.CurlError)
        and error.errno == pycurl.E_OPERATION_TIMEDOUT
    )


def _request(
    outgoing: Outgoing, prepare: Callable[[pycurl.Curl], None]
) -> httpclient.HTTPRequest:
    return httpclient.HTTPRequest(
        outgoing.url,
        method=outgoing.method,
        body=outgoing.body,
        headers=httputil.HTTPHeaders(dict(outgoing.headers)),
        connect_timeout=outgoing.connect_timeout_s,
        request_timeout=outgoing.timeout_s,
        follow_redirects=False,
        decompress_response=False,
        allow_nonstandard_methods=True,
        prepare_curl_callback=prepare,
    )
