"""The platform's key-value service over HTTP with msgpack bodies.

A write is sent at most once.  A second sending of a compare-and-swap could
not write twice, since the first moves the revision, but it would be answered
by a conflict, which says that nothing was written.  So ``exchange`` keeps
libcurl from resending it, and only a write of which no byte was sent, or
which the service refused, is tried at another address.
"""

from collections.abc import Sequence

from returns import result

from jackdawlatch.store import calls, keyvalue, limits, replies, wire

TIMEOUT_S = 2.0
WATCH_MARGIN_S = 1.0


class RemoteStore(keyvalue.Store):
    """Calls the service at one of several base URLs.

    ``timeout_s`` bounds each attempt.
    """

    def __init__(
        self, addresses: Sequence[str], timeout_s: float = TIMEOUT_S
    ) -> None:
        self._caller = calls.Caller(addresses, timeout_s)

    async def get(
        self, key: str
    ) -> result.Result[keyvalue.Entry | None, keyvalue.Unavailable]:
        """Return the entry of a key, None when there is none."""
        found = await self._caller.read(wire.Get(key=key), wire.Found)
        return found.map(lambda reply: reply.entry)

    async def scan(
        self, prefix: str
    ) -> result.Result[keyvalue.Changes, keyvalue.Unavailable]:
        """Return all entries below a prefix and the revision of the read."""
        call = wire.Scan(prefix=prefix)
        return await self._caller.read(call, keyvalue.Changes)

    async def put(
        self, key: str, content: bytes, revision: int, lease: str = ''
    ) -> result.Result[keyvalue.Entry, keyvalue.WriteFailure]:
        """Write a key if it is at ``revision`` (``ABSENT``: not there).

        A value that the service would refuse fails as ``limits.TooLarge``.
        """
        if len(content) > limits.MAX_VALUE_BYTES:
            return result.Failure(limits.too_large(key, content))
        call = wire.Put(
            key=key, content=content, revision=revision, lease=lease
        )
        return await self._caller.call(
            call, keyvalue.Entry, self._caller.write_plan
        )

    async def delete(
        self, key: str, revision: int
    ) -> result.Result[None, keyvalue.WriteFailure]:
        """Remove a key if it is at ``revision``."""
        call = wire.Delete(key=key, revision=revision)
        removed = await self._caller.call(
            call, wire.Done, self._caller.write_plan
        )
        return removed.map(_nothing)

    async def watch(
        self, prefix: str, revision: int, timeout_s: float
    ) -> result.Result[keyvalue.Changes, keyvalue.Unavailable]:
        """Wait for changes after ``revision``, at most ``timeout_s``."""
        call = wire.Watch(prefix=prefix, revision=revision, timeout_s=timeout_s)
        plan = calls.Plan(1, timeout_s + WATCH_MARGIN_S)
        seen = await self._caller.call(call, keyvalue.Changes, plan)
        return seen.alt(replies.unavailable)

    async def grant(
        self, ttl_s: float
    ) -> result.Result[keyvalue.Lease, keyvalue.Unavailable]:
        """Return a new lease; one whose reply is lost lapses by itself."""
        return await self._caller.read(wire.Grant(ttl_s=ttl_s), keyvalue.Lease)

    async def renew(
        self, lease: str
    ) -> result.Result[None, keyvalue.LeaseLost | keyvalue.Unavailable]:
        """Keep a lease alive; it is idempotent, so it is tried as a read."""
        renewed = await self._caller.call(
            wire.Renew(lease=lease), wire.Done, self._caller.read_plan
        )
        return renewed.map(_nothing).alt(replies.lost_or_unavailable)

    async def revoke(
        self, lease: str
    ) -> result.Result[None, keyvalue.Unavailable]:
        """End a lease and remove its keys; it is idempotent."""
        revoked = await self._caller.read(wire.Revoke(lease=lease), wire.Done)
        return revoked.map(_nothing)

    def close(self) -> None:
        """Close the connections to the service."""
        self._caller.close()


def _nothing(_reply: wire.Done) -> None:
    """Drop a reply that says no more than that the call took effect."""
