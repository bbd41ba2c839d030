"""Tornado's curl client with transfers that can be aborted."""

import asyncio
import dataclasses
import functools

import pycurl
from tornado import curl_httpclient, httpclient

from jackdawlatch.backends import replies


@dataclasses.dataclass
class Counts:
    """How many connections were opened, and how many reused ones timed out."""

    opened: int = 0
    reused_timeouts: int = 0


class CancellableClient(curl_httpclient.CurlAsyncHTTPClient):
    """Aborts transfers, and collects replies within bounds."""

    @functools.cached_property
    def counts(self) -> Counts:
        """The counts of connections, which several clients may share."""
        return Counts()

    def abort(
        self, curl: pycurl.Curl, outgoing: httpclient.HTTPRequest
    ) -> None:
        """Abort the transfer of a request and close its connection."""
        # Tornado stores the request of a curl handle in this attribute.
        info = getattr(curl, 'info', None)
        if info and info['request'].request is outgoing:
            self._finish(curl, pycurl.E_ABORTED_BY_CALLBACK, 'abandoned')
            # The next queued request takes over the handle.
            self._set_timeout(0)

    def collect(self, curl: pycurl.Curl, reply: replies.Incoming) -> None:
        """Read the body of a prepared transfer into ``reply``."""
        info = getattr(curl, 'info', {})
        headers, outgoing = info['headers'], info['request'].request
        loop = asyncio.get_running_loop()

        def add_header(line: bytes) -> int:
            if not reply.add_header(line):
                return 0
            self._curl_header_callback(headers, None, line)
            return len(line)

        def close() -> None:
            # libcurl may be handling a transfer that runs this callback.
            loop.call_soon(self.abort, curl, outgoing)

        reply.close = close
        curl.setopt(pycurl.HEADERFUNCTION, add_header)
        curl.setopt(pycurl.WRITEFUNCTION, reply.add_body)

    def _finish(
        self,
        curl: pycurl.Curl,
        curl_error: int | None = None,
        curl_message: str | None = None,
    ) -> None:
        opened = curl.getinfo(pycurl.NUM_CONNECTS)
        self.counts.opened += opened
        if curl_error == pycurl.E_OPERATION_TIMEDOUT and not opened:
            self.counts.reused_timeouts += 1
            curl_message = f'{curl_message}, on a reused connection'
        super()._finish(curl, curl_error, curl_message)
