"""Request and reply bodies of the key-value service's HTTP interface.

Each call is ``POST /v1/<name>`` with one of these records as msgpack.  The
status gives the outcome: 200 with the reply's record, 409 ``Conflict``, 410
``LeaseLost``, 413 ``TooLarge``, 503 ``Unavailable``.  All but 200 mean that
nothing was written.
"""

from jackdawlatch.model import records
from jackdawlatch.store import keyvalue


class Get(records.Record, frozen=True, kw_only=True):
    """Reads one key; answered by ``Found``."""

    key: str


class Scan(records.Record, frozen=True, kw_only=True):
    """Reads all keys below a prefix; answered by ``keyvalue.Changes``."""

    prefix: str


class Put(records.Record, frozen=True, kw_only=True):
    """Writes a key that is at ``revision``; answered by ``keyvalue.Entry``."""

    key: str
    content: bytes
    revision: int
    lease: str = ''


class Delete(records.Record, frozen=True, kw_only=True):
    """Removes a key that is at ``revision``; answered by ``Done``."""

    key: str
    revision: int


class Watch(records.Record, frozen=True, kw_only=True):
    """Waits for changes below a prefix; answered by ``keyvalue.Changes``."""

    prefix: str
    revision: int
    timeout_s: float


class Grant(records.Record, frozen=True, kw_only=True):
    """Requests a lease; answered by ``keyvalue.Lease``."""

    ttl_s: float


class Renew(records.Record, frozen=True, kw_only=True):
    """Extends a lease; answered by ``Done``."""

    lease: str


class Revoke(records.Record, frozen=True, kw_only=True):
    """Ends a lease; answered by ``Done``."""

    lease: str


class Found(records.Record, frozen=True, kw_only=True):
    """The entry of a key, None when there is none."""

    entry: keyvalue.Entry | None = None


class Done(records.Record, frozen=True, kw_only=True):
    """The call took effect."""
