"""What the stand-in of the key-value service holds: keys, leases, history."""

import itertools
from collections.abc import Iterable

from returns import result

from jackdawlatch.model import clocks, records
from jackdawlatch.store import keyvalue, transactions

HISTORY_ENTRIES = 10_000


class Content:
    """Keys with revisions, leases that lapse, and a bounded history."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._entries_by_key: dict[str, keyvalue.Entry] = {}
        self._expiry_s_by_lease: dict[str, float] = {}
        self._ttl_s_by_lease: dict[str, float] = {}
        self._history: list[keyvalue.Entry] = []
        self._forgotten_revision = 0
        self._numbers = itertools.count(1)
        self.revision = 0

    def get(self, key: str) -> keyvalue.Entry | None:
        """Return the entry of a key."""
        self.expire()
        return self._entries_by_key.get(key)

    def scan(self, prefix: str) -> keyvalue.Changes:
        """Return every entry below a prefix."""
        self.expire()
        found = tuple(
            entry
            for key, entry in self._entries_by_key.items()
            if key.startswith(prefix)
        )
        return keyvalue.Changes(
            entries=found, revision=self.revision, reset=True
        )

    def changes(self, prefix: str, revision: int) -> keyvalue.Changes:
        """Return what changed below a prefix after a revision."""
        self.expire()
        if revision < self._forgotten_revision or revision > self.revision:
            return self.scan(prefix)
        found = tuple(
            entry
            for entry in self._history
            if entry.revision > revision and entry.key.startswith(prefix)
        )
        return keyvalue.Changes(entries=found, revision=self.revision)

    def put(
        self, key: str, content: bytes, revision: int, lease: str
    ) -> result.Result[keyvalue.Entry, keyvalue.WriteFailure]:
        """Write a key if it is at ``revision``."""
        self.expire()
        if lease and lease not in self._expiry_s_by_lease:
            return result.Failure(keyvalue.LeaseLost(message=lease))
        current = self._entries_by_key.get(key)
        if _revision_of(current) != revision:
            return result.Failure(
                keyvalue.Conflict(message=key, current=current)
            )
        self.revision += 1
        entry = keyvalue.Entry(
            key=key, value=content, revision=self.revision, lease=lease
        )
        self._entries_by_key[key] = entry
        self._remember(entry)
        return result.Success(entry)

    def delete(
        self, key: str, revision: int
    ) -> result.Result[None, keyvalue.WriteFailure]:
        """Remove a key if it is at ``revision``."""
        self.expire()
        current = self._entries_by_key.get(key)
        if current is None or current.revision != revision:
            return result.Failure(
                keyvalue.Conflict(message=key, current=current)
            )
        self._remove((current,))
        return result.Success(None)

    def commit(
        self, transaction: transactions.Transaction
    ) -> result.Result[int, keyvalue.WriteFailure]:
        """Carry out all of a transaction under one revision."""
        self.expire()
        for put in transaction.puts:
            if put.lease and put.lease not in self._expiry_s_by_lease:
                return result.Failure(keyvalue.LeaseLost(message=put.lease))
        conditions = transaction.conditions
        present = [self._entries_by_key.get(row.key) for row in conditions]
        if any(
            _revision_of(current) != row.revision
            for row, current in zip(conditions, present, strict=True)
        ):
            return result.Failure(
                transactions.Rejected(
                    message='a condition does not hold',
                    entries=tuple(filter(None, present)),
                )
            )
        self.revision += 1
        for put in transaction.puts:
            self._write(put)
        for key in transaction.deletes:
            if key in self._entries_by_key:
                self._forget(key)
        return result.Success(self.revision)

    def grant(self, ttl_s: float) -> keyvalue.Lease:
        """Return a new lease."""
        lease = f'lease-{next(self._numbers)}'
        self._ttl_s_by_lease[lease] = ttl_s
        self._expiry_s_by_lease[lease] = self._clock.monotonic_s() + ttl_s
        return keyvalue.Lease(id=lease, ttl_s=ttl_s)

    def renew(self, lease: str) -> result.Result[None, keyvalue.LeaseLost]:
        """Extend a lease by its time to live."""
        self.expire()
        if lease not in self._expiry_s_by_lease:
            return result.Failure(keyvalue.LeaseLost(message=lease))
        self._expiry_s_by_lease[lease] = (
            self._clock.monotonic_s() + self._ttl_s_by_lease[lease]
        )
        return result.Success(None)

    def revoke(self, lease: str) -> None:
        """End a lease and remove its keys."""
        self._expiry_s_by_lease.pop(lease, None)
        self._ttl_s_by_lease.pop(lease, None)
        self._remove(
            entry
            for entry in tuple(self._entries_by_key.values())
            if entry.lease == lease
        )

    def expire(self) -> None:
        """End every lease whose time has run out."""
        now_s = self._clock.monotonic_s()
        lapsed = [
            lease
            for lease, expiry_s in self._expiry_s_by_lease.items()
            if expiry_s <= now_s
        ]
        for lease in lapsed:
            self.revoke(lease)

    def _remove(self, entries: Iterable[keyvalue.Entry]) -> None:
        for entry in entries:
            self.revision += 1
            self._forget(entry.key)

    def _write(self, put: transactions.Put) -> None:
        entry = keyvalue.Entry(
            key=put.key,
            value=put.content,
            revision=self.revision,
            lease=put.lease,
        )
        self._entries_by_key[put.key] = entry
        self._remember(entry)

    def _forget(self, key: str) -> None:
        entry = self._entries_by_key.pop(key)
        self._remember(
            records.replace(
                entry, value=b'', revision=self.revision, deleted=True
            )
        )

    def _remember(self, entry: keyvalue.Entry) -> None:
        self._history.append(entry)
        if len(self._history) > HISTORY_ENTRIES:
            half = HISTORY_ENTRIES // 2
            self._forgotten_revision = self._history[half - 1].revision
            self._history = self._history[half:]


def _revision_of(entry: keyvalue.Entry | None) -> int:
    return entry.revision if entry else keyvalue.ABSENT
