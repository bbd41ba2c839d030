"""The data of the key-value stand-in: keys, leases and history."""

import bisect
import itertools
import operator
from collections.abc import Iterable

from returns import result

from jackdawlatch.model import clocks, records
from jackdawlatch.store import keyvalue

HISTORY_ENTRIES = 10_000


class Content:
    """Keys with revisions, expiring leases and a bounded change history."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self.entries_by_key: dict[str, keyvalue.Entry] = {}
        self.expiry_s_by_lease: dict[str, float] = {}
        self._ttl_s_by_lease: dict[str, float] = {}
        self._history: list[keyvalue.Entry] = []
        self._trimmed_revision = 0
        self._lease_numbers = itertools.count(1)
        self.revision = 0

    def get(self, key: str) -> keyvalue.Entry | None:
        """Return the entry of a key, None if it is absent."""
        self.expire()
        return self.entries_by_key.get(key)

    def scan(self, prefix: str) -> keyvalue.Changes:
        """Return every entry below a prefix."""
        self.expire()
        found = tuple(
            entry
            for key, entry in self.entries_by_key.items()
            if key.startswith(prefix)
        )
        return keyvalue.Changes(
            entries=found, revision=self.revision, reset=True
        )

    def changes(self, prefix: str, revision: int) -> keyvalue.Changes:
        """Return the changes below a prefix after a revision.

        Returns every present entry, with ``reset`` set, if the history does
        not reach back to that revision.
        """
        self.expire()
        if revision < self._trimmed_revision or revision > self.revision:
            return self.scan(prefix)
        first = bisect.bisect_right(
            self._history, revision, key=operator.attrgetter('revision')
        )
        found = tuple(
            entry
            for entry in self._history[first:]
            if entry.key.startswith(prefix)
        )
        return keyvalue.Changes(entries=found, revision=self.revision)

    def put(
        self, key: str, content: bytes, revision: int, lease: str
    ) -> result.Result[keyvalue.Entry, keyvalue.WriteFailure]:
        """Write a key if it is at ``revision``.

        Fails with ``LeaseLost`` if the lease has expired, and with
        ``Conflict`` if the key is at another revision.
        """
        self.expire()
        if lease and lease not in self.expiry_s_by_lease:
            return result.Failure(keyvalue.LeaseLost(message=lease))
        current = self.entries_by_key.get(key)
        if revision_of(current) != revision:
            return result.Failure(
                keyvalue.Conflict(message=key, current=current)
            )
        self.revision += 1
        entry = keyvalue.Entry(
            key=key, value=content, revision=self.revision, lease=lease
        )
        self.record(entry)
        return result.Success(entry)

    def delete(
        self, key: str, revision: int
    ) -> result.Result[None, keyvalue.WriteFailure]:
        """Remove a key if it is at ``revision``.

        Fails with ``Conflict`` if the key is absent or at another revision.
        """
        self.expire()
        current = self.entries_by_key.get(key)
        if current is None or current.revision != revision:
            return result.Failure(
                keyvalue.Conflict(message=key, current=current)
            )
        self._remove((current,))
        return result.Success(None)

    def grant(self, ttl_s: float) -> keyvalue.Lease:
        """Return a new lease that expires after ``ttl_s`` seconds."""
        lease = f'lease-{next(self._lease_numbers)}'
        self._ttl_s_by_lease[lease] = ttl_s
        self.expiry_s_by_lease[lease] = self._clock.monotonic_s() + ttl_s
        return keyvalue.Lease(id=lease, ttl_s=ttl_s)

    def renew(self, lease: str) -> result.Result[None, keyvalue.LeaseLost]:
        """Extend a lease to its full time to live from now."""
        self.expire()
        if lease not in self.expiry_s_by_lease:
            return result.Failure(keyvalue.LeaseLost(message=lease))
        self.expiry_s_by_lease[lease] = (
            self._clock.monotonic_s() + self._ttl_s_by_lease[lease]
        )
        return result.Success(None)

    def revoke(self, lease: str) -> None:
        """End a lease and remove its keys."""
        self.expiry_s_by_lease.pop(lease, None)
        self._ttl_s_by_lease.pop(lease, None)
        self._remove(
            entry
            for entry in tuple(self.entries_by_key.values())
            if entry.lease == lease
        )

    def expire(self) -> None:
        """Revoke every lease that has expired."""
        now_s = self._clock.monotonic_s()
        expired = [
            lease
            for lease, expiry_s in self.expiry_s_by_lease.items()
            if expiry_s <= now_s
        ]
        for lease in expired:
            self.revoke(lease)

    def record(self, entry: keyvalue.Entry) -> None:
        """Apply an entry, a removal included, and add it to the history.

        Beyond ``HISTORY_ENTRIES`` entries the older half is dropped.
        """
        if entry.deleted:
            self.entries_by_key.pop(entry.key)
        else:
            self.entries_by_key[entry.key] = entry
        self._history.append(entry)
        if len(self._history) > HISTORY_ENTRIES:
            half = HISTORY_ENTRIES // 2
            self._trimmed_revision = self._history[half - 1].revision
            self._history = self._history[half:]

    def _remove(self, entries: Iterable[keyvalue.Entry]) -> None:
        for entry in entries:
            self.revision += 1
            self.record(tombstone(entry, self.revision))


def tombstone(entry: keyvalue.Entry, revision: int) -> keyvalue.Entry:
    """Return the entry that records the removal of ``entry``."""
    return records.replace(entry, value=b'', revision=revision, deleted=True)


def revision_of(entry: keyvalue.Entry | None) -> int:
    """Return the revision of an entry, ``ABSENT`` if there is none."""
    return entry.revision if entry else keyvalue.ABSENT
