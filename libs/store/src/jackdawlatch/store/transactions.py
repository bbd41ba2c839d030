"""Writes of several keys that take effect together or not at all."""

import abc

from returns import result

from jackdawlatch.model import records
from jackdawlatch.store import keyvalue

# The documented limit of the platform's store for one transaction.
MAX_ITEMS = 32


class Condition(records.Record, frozen=True, kw_only=True):
    """The key must be at ``revision`` (``keyvalue.ABSENT``: no such key)."""

    key: str
    revision: int


class Put(records.Record, frozen=True, kw_only=True):
    """A key to write, attached to ``lease`` unless that is empty."""

    key: str
    content: bytes
    lease: str = ''


class Transaction(records.Record, frozen=True, kw_only=True):
    """Conditions and writes, at most ``MAX_ITEMS`` in all.

    Keys to delete need not exist.
    """

    conditions: tuple[Condition, ...] = ()
    puts: tuple[Put, ...] = ()
    deletes: tuple[str, ...] = ()


class Rejected(keyvalue.Conflict, frozen=True, kw_only=True):
    """A condition did not hold; nothing was written.

    ``entries`` are the current entries of the keys of the conditions, without
    those that do not exist.
    """

    entries: tuple[keyvalue.Entry, ...] = ()

    @property
    def revisions_by_key(self) -> dict[str, int]:
        """The current revisions of the keys that exist."""
        return {entry.key: entry.revision for entry in self.entries}


class TransactionalStore(keyvalue.Store):
    """A store that also writes several keys atomically."""

    @abc.abstractmethod
    async def commit(
        self, transaction: Transaction
    ) -> result.Result[int, keyvalue.WriteFailure]:
        """Commit a transaction; return the revision that it produced.

        Fails with ``Rejected`` if a condition does not hold.
        """
