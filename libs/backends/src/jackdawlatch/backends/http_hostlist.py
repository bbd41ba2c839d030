"""HTTP client of the platform's host list."""

from returns import result

from jackdawlatch.backends import exchange, hostlist, replies
from jackdawlatch.model import hosts

TIMEOUT_S = 2.0
OK_STATUS = 200
ACCEPTED_STATUS = 202
REFUSED_STATUSES = frozenset((400, 404, 409))


class HttpHostList(hostlist.HostList):
    """The host list at a base URL; each call takes at most ``timeout_s``."""

    def __init__(self, address: str, timeout_s: float = TIMEOUT_S) -> None:
        self._address = address
        self._timeout_s = timeout_s
        self._client = exchange.Client(
            max_reply_bytes=replies.MAX_UNFINISHED_BYTES
        )

    async def read(
        self,
    ) -> result.Result[tuple[hosts.Host, ...], hostlist.ListUnavailable]:
        """Return every host of the platform."""
        answered = await self._client.send(
            exchange.Outgoing(
                f'{self._address}/hosts',
                timeout_s=self._timeout_s,
                resend=True,
            )
        )
        if isinstance(answered, result.Failure):
            return _unavailable(answered.failure().message)
        reply = answered.unwrap()
        if reply.status != OK_STATUS:
            return _unavailable(f'status {reply.status}')
        listed = reply.json(tuple[hosts.Host, ...])
        return listed.alt(
            lambda failed: hostlist.ListUnavailable(message=failed.message)
        )

    async def reboot(
        self, host_id: str
    ) -> result.Result[None, hostlist.RebootRefused | hostlist.RebootUncertain]:
        """Request a reboot once; success means it was accepted."""
        answered = await self._client.send(
            exchange.Outgoing(
                f'{self._address}/hosts/{host_id}/reboot',
                method='POST',
                body=b'',
                timeout_s=self._timeout_s,
            )
        )
        if isinstance(answered, result.Failure):
            return result.Failure(_reboot_failure(answered.failure()))
        status = answered.unwrap().status
        if status == ACCEPTED_STATUS:
            return result.Success(None)
        if status in REFUSED_STATUSES:
            return result.Failure(
                hostlist.RebootRefused(message=f'status {status}')
            )
        return result.Failure(
            hostlist.RebootUncertain(message=f'status {status}')
        )

    def close(self) -> None:
        """Close every connection."""
        self._client.close()


def _unavailable(message: str) -> result.Failure[hostlist.ListUnavailable]:
    return result.Failure(hostlist.ListUnavailable(message=message))


def _reboot_failure(
    failed: exchange.Failed,
) -> hostlist.RebootRefused | hostlist.RebootUncertain:
    if isinstance(failed, exchange.NotSent):
        return hostlist.RebootRefused(message=failed.message)
    return hostlist.RebootUncertain(message=failed.message)
