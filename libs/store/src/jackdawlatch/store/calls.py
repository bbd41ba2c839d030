"""Calls to the key-value service with retries over several addresses."""

import dataclasses
from collections.abc import Sequence

from returns import result

from jackdawlatch.backends import exchange
from jackdawlatch.backends import replies as http_replies
from jackdawlatch.model import records
from jackdawlatch.store import keyvalue, replies

MIN_READ_ATTEMPTS = 2
# A scan has one reply for any number of values of 1 MB.
MAX_REPLY_BYTES = 100 * 1024 * 1024


@dataclasses.dataclass(frozen=True)
class RetryPolicy:
    """Number of attempts of a call, and the timeout of each in seconds.

    ``retry_uncertain`` allows another attempt after one whose outcome is
    unknown.
    """

    attempts: int
    timeout_s: float
    retry_uncertain: bool = True


class RetryingClient:
    """Sends calls to one address until it fails, then to the next one.

    ``timeout_s`` is the timeout of reads and writes; opening a connection
    may take no longer, whatever the policy of the call.
    """

    def __init__(self, addresses: Sequence[str], timeout_s: float) -> None:
        self._addresses = list(addresses)
        self._timeout_s = timeout_s
        self._http_client = exchange.Client(
            max_reply_bytes=MAX_REPLY_BYTES,
            budget=http_replies.Budget(MAX_REPLY_BYTES),
        )
        self.read_policy = RetryPolicy(
            max(MIN_READ_ATTEMPTS, len(addresses)), timeout_s
        )
        self.write_policy = RetryPolicy(
            len(addresses), timeout_s, retry_uncertain=False
        )

    async def call(
        self,
        request: records.Record,
        reply_type: type[replies.Reply],
        policy: RetryPolicy,
    ) -> replies.Replied[replies.Reply]:
        """Send a call, retrying as ``policy`` allows.

        Returns the reply, or the failure of the last attempt.
        """
        replied = await self._send(request, reply_type, policy)
        for _ in range(policy.attempts - 1):
            if not _should_retry(replied, policy):
                break
            replied = await self._send(request, reply_type, policy)
        return replied

    async def read(
        self, request: records.Record, reply_type: type[replies.Reply]
    ) -> result.Result[replies.Reply, keyvalue.Unavailable]:
        """Send a call that is safe to run more than once."""
        replied = await self.call(request, reply_type, self.read_policy)
        return replied.alt(replies.read_failure)

    def close(self) -> None:
        """Close the connections to the service."""
        self._http_client.close()

    async def _send(
        self,
        request: records.Record,
        reply_type: type[replies.Reply],
        policy: RetryPolicy,
    ) -> replies.Replied[replies.Reply]:
        address = self._addresses[0]
        name = type(request).__name__.lower()
        answered = await self._http_client.send(
            exchange.Outgoing(
                f'{address}/v1/{name}',
                method='POST',
                body=records.encode(request),
                timeout_s=policy.timeout_s,
                connect_timeout_s=min(policy.timeout_s, self._timeout_s),
            )
        )
        replied = replies.read(answered, reply_type)
        if _should_retry(replied, self.read_policy):
            self._move_to_last(address)
        return replied

    def _move_to_last(self, address: str) -> None:
        # Concurrent calls may fail at the same address; rotate only once.
        if self._addresses[0] == address:
            self._addresses.append(self._addresses.pop(0))


def _should_retry(
    replied: replies.Replied[replies.Reply], policy: RetryPolicy
) -> bool:
    if isinstance(replied, result.Success):
        return False
    failure = replied.failure()
    if isinstance(failure, keyvalue.Uncertain):
        return policy.retry_uncertain
    return isinstance(failure, keyvalue.Unavailable)
