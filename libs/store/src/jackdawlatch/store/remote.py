"""Client of the platform's key-value service: HTTP with msgpack bodies.

A write is sent at most once.  A compare-and-swap that is sent twice can't
write twice, because the first one changes the revision, but the second is
answered by a conflict, which would wrongly report that nothing was written.
So ``exchange`` keeps libcurl from resending it, and a write is retried at
another address only if no byte of it was sent or the service refused it.
"""

from collections.abc import Sequence

from returns import result

from jackdawlatch.store import calls, keyvalue, limits, replies, wire

TIMEOUT_S = 2.0
WATCH_MARGIN_S = 1.0


class RemoteStore(keyvalue.Store):
    """A store that calls the service at one of several base URLs.

    ``timeout_s`` bounds each attempt of a call other than ``watch``.
    """

    def __init__(
        self, addresses: Sequence[str], timeout_s: float = TIMEOUT_S
    ) -> None:
        self._client = calls.RetryingClient(addresses, timeout_s)

    async def get(
        self, key: str
    ) -> result.Result[keyvalue.Entry | None, keyvalue.Unavailable]:
        """Return the entry of a key, None when there is none."""
        found = await self._client.read(wire.Get(key=key), wire.Found)
        return found.map(lambda reply: reply.entry)

    async def scan(
        self, prefix: str
    ) -> result.Result[keyvalue.Changes, keyvalue.Unavailable]:
        """Return all entries below a prefix and the revision of the read."""
        request = wire.Scan(prefix=prefix)
        return await self._client.read(request, keyvalue.Changes)

    async def put(
        self, key: str, content: bytes, revision: int, lease: str = ''
    ) -> result.Result[keyvalue.Entry, keyvalue.WriteFailure]:
        """Write a key if it is at ``revision`` (``ABSENT``: no such key).

        A value over the service's size limit fails with ``limits.TooLarge``,
        without a call.
        """
        if len(content) > limits.MAX_VALUE_BYTES:
            return result.Failure(limits.too_large(key, content))
        request = wire.Put(
            key=key, content=content, revision=revision, lease=lease
        )
        return await self._client.call(
            request, keyvalue.Entry, self._client.write_policy
        )

    async def delete(
        self, key: str, revision: int
    ) -> result.Result[None, keyvalue.WriteFailure]:
        """Remove a key if it is at ``revision``."""
        request = wire.Delete(key=key, revision=revision)
        removed = await self._client.call(
            request, wire.Done, self._client.write_policy
        )
        return removed.map(_discard)

    async def watch(
        self, prefix: str, revision: int, timeout_s: float
    ) -> result.Result[keyvalue.Changes, keyvalue.Unavailable]:
        """Wait for changes after ``revision``, at most ``timeout_s``."""
        request = wire.Watch(
            prefix=prefix, revision=revision, timeout_s=timeout_s
        )
        policy = calls.RetryPolicy(1, timeout_s + WATCH_MARGIN_S)
        seen = await self._client.call(request, keyvalue.Changes, policy)
        return seen.alt(replies.read_failure)

    async def grant(
        self, ttl_s: float
    ) -> result.Result[keyvalue.Lease, keyvalue.Unavailable]:
        """Return a new lease.

        The call is retried: a lease whose reply was lost expires unused.
        """
        return await self._client.read(wire.Grant(ttl_s=ttl_s), keyvalue.Lease)

    async def renew(
        self, lease: str
    ) -> result.Result[None, keyvalue.LeaseLost | keyvalue.Unavailable]:
        """Extend a lease by its time to live; idempotent, so it is retried."""
        renewed = await self._client.call(
            wire.Renew(lease=lease), wire.Done, self._client.read_policy
        )
        return renewed.map(_discard).alt(replies.renewal_failure)

    async def revoke(
        self, lease: str
    ) -> result.Result[None, keyvalue.Unavailable]:
        """End a lease and remove its keys; idempotent, so it is retried."""
        revoked = await self._client.read(wire.Revoke(lease=lease), wire.Done)
        return revoked.map(_discard)

    def close(self) -> None:
        """Close the connections to the service."""
        self._client.close()


def _discard(_reply: wire.Done) -> None:
    """Discard a reply that carries no value."""
