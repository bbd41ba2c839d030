"""Key-value content that also supports transactions over several keys."""

from returns import result

from jackdawlatch.standins import content as contents
from jackdawlatch.store import keyvalue, transactions


class TransactionalContent(contents.Content):
    """Content whose transactions take effect as a whole or not at all."""

    def commit(
        self, transaction: transactions.Transaction
    ) -> result.Result[int, keyvalue.WriteFailure]:
        """Apply a transaction under one new revision, which is returned.

        Fails with ``LeaseLost`` if a put names a lease that has expired, and
        with ``Rejected`` if a condition does not hold.
        """
        self.expire()
        for put in transaction.puts:
            if put.lease and put.lease not in self.expiry_s_by_lease:
                return result.Failure(keyvalue.LeaseLost(message=put.lease))
        conditions = transaction.conditions
        current_entries = [
            self.entries_by_key.get(row.key) for row in conditions
        ]
        if any(
            contents.revision_of(current) != row.revision
            for row, current in zip(conditions, current_entries, strict=True)
        ):
            return result.Failure(
                transactions.Rejected(
                    message='a condition does not hold',
                    entries=tuple(filter(None, current_entries)),
                )
            )
        self.revision += 1
        for put in transaction.puts:
            self._write(put)
        for key in transaction.deletes:
            current = self.entries_by_key.get(key)
            if current is not None:
                self.record(contents.tombstone(current, self.revision))
        return result.Success(self.revision)

    def _write(self, put: transactions.Put) -> None:
        entry = keyvalue.Entry(
            key=put.key,
            value=put.content,
            revision=self.revision,
            lease=put.lease,
        )
        self.record(entry)
