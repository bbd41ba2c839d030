"""Writes of several keys that take effect together or not at all."""

import abc

from returns import result

from jackdawlatch.model import records
from jackdawlatch.store import keyvalue

# The platform's documented limit of one transaction.
MAX_ITEMS = 32


class Condition(records.Record, frozen=True, kw_only=True):
    """The key must be at ``revision`` (``keyvalue.ABSENT``: not there)."""

    key: str
    revision: int


class Put(records.Record, frozen=True, kw_only=True):
    """A key to write, under a lease if one is named."""

    key: str
    content: bytes
    lease: str = ''


class Transaction(records.Record, frozen=True, kw_only=True):
    """At most ``MAX_ITEMS`` items in all; keys to delete may be absent."""

    conditions: tuple[Condition, ...] = ()
    puts: tuple[Put, ...] = ()
    deletes: tuple[str, ...] = ()


class Rejected(keyvalue.Conflict, frozen=True, kw_only=True):
    """A condition did not hold; nothing was written.

    ``entries`` are the keys of the conditions that exist, as they are now.
    """

    entries: tuple[keyvalue.Entry, ...] = ()


class TransactionalStore(keyvalue.Store):
    """A store that also writes several keys at once."""

    @abc.abstractmethod
    async def commit(
        self, transaction: Transaction
    ) -> result.Result[int, keyvalue.WriteFailure]:
        """Carry out all of a transaction; return the revision it made.

        ``Rejected`` means that a condition did not hold.
        """
