"""The interface of the platform's key-value store.

Every write is a compare-and-swap on the revision of one key.  Revisions
grow across the whole store; revision 0 stands for a key that does not exist.
"""

import abc
from typing import ClassVar

from returns import result

from jackdawlatch.model import failures, records

ABSENT = 0


class Entry(records.Record, frozen=True, kw_only=True):
    """The value of a key at one revision; ``deleted`` marks a removal."""

    key: str
    value: bytes = b''
    revision: int
    lease: str = ''
    deleted: bool = False


class Lease(records.Record, frozen=True, kw_only=True):
    """A lease; its keys are removed when it is not renewed in ``ttl_s``."""

    id: str
    ttl_s: float


class Changes(records.Record, frozen=True, kw_only=True):
    """The entries that changed, and the revision to watch from next.

    With ``reset``, ``entries`` is the full content below the prefix: that of
    a scan, or of a watch whose history the store no longer has.
    """

    entries: tuple[Entry, ...] = ()
    revision: int
    reset: bool = False


class Conflict(failures.Problem, frozen=True, kw_only=True):
    """The key was at another revision; nothing was written.

    ``current`` is what the key holds, None when it does not exist.
    """

    code: ClassVar[str] = 'store-conflict'

    current: Entry | None = None


class Unavailable(failures.Problem, frozen=True, kw_only=True):
    """The store could not be reached; nothing was written."""

    code: ClassVar[str] = 'store-unavailable'


class Oversized(Unavailable, frozen=True, kw_only=True):
    """The answer to a read exceeds what the client takes."""

    code: ClassVar[str] = 'store-oversized'


class Uncertain(failures.Problem, frozen=True, kw_only=True):
    """The reply was lost: the write may or may not have taken effect."""

    code: ClassVar[str] = 'store-uncertain'


class LeaseLost(failures.Problem, frozen=True, kw_only=True):
    """The lease has expired or was revoked."""

    code: ClassVar[str] = 'store-lease-lost'


WriteFailure = Conflict | Unavailable | Uncertain | LeaseLost
ReadFailure = Unavailable


class Store(abc.ABC):
    """The platform's key-value service."""

    @abc.abstractmethod
    async def get(self, key: str) -> result.Result[Entry | None, Unavailable]:
        """Return the entry of a key, None when there is none."""

    @abc.abstractmethod
    async def scan(self, prefix: str) -> result.Result[Changes, Unavailable]:
        """Return all entries below a prefix and the revision of the read."""

    @abc.abstractmethod
    async def put(
        self, key: str, content: bytes, revision: int, lease: str = ''
    ) -> result.Result[Entry, WriteFailure]:
        """Write a key if it is at ``revision`` (``ABSENT``: no such key)."""

    @abc.abstractmethod
    async def delete(
        self, key: str, revision: int
    ) -> result.Result[None, WriteFailure]:
        """Remove a key if it is at ``revision``."""

    @abc.abstractmethod
    async def watch(
        self, prefix: str, revision: int, timeout_s: float
    ) -> result.Result[Changes, Unavailable]:
        """Wait for changes after ``revision``, at most ``timeout_s``."""

    @abc.abstractmethod
    async def grant(self, ttl_s: float) -> result.Result[Lease, Unavailable]:
        """Return a new lease."""

    @abc.abstractmethod
    async def renew(
        self, lease: str
    ) -> result.Result[None, LeaseLost | Unavailable]:
        """Extend a lease by its time to live."""

    @abc.abstractmethod
    async def revoke(self, lease: str) -> result.Result[None, Unavailable]:
        """End a lease and remove its keys."""
