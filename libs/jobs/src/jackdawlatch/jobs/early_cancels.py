"""Cancels of jobs that have no record, but may still get one.

The store may carry out the write of a job whose answer was lost, seconds after a
caller was told that there is no such job.
"""

from returns import result

from jackdawlatch.jobs import job_entries
from jackdawlatch.model import clocks
from jackdawlatch.store import keyvalue, monitored, transactions

# The store may carry out an unanswered write this much later.
LATE_WRITE_S = 15.0
# Longer than a late write and the time in which hosts repeat it.
KEPT_S = 4 * LATE_WRITE_S


class EarlyCancels:
    """Writes such cancels; those of one host share a lease for a while."""

    def __init__(
        self, store: monitored.MonitoredStore, clock: clocks.Clock
    ) -> None:
        self._store = store
        self._clock = clock
        self._lease = ''
        self._granted_s: float = 0

    async def write(
        self, job_id: str, asked_s: float
    ) -> result.Result[int, keyvalue.WriteFailure | keyvalue.Unavailable]:
        """Prevent the creation of a job for at least half of ``KEPT_S``.

        Fails with ``Rejected`` if the job has a record by now.
        """
        now_s = self._clock.monotonic_s()
        if not self._lease or now_s - self._granted_s > KEPT_S / 2:
            granted = await self._store.grant(KEPT_S)
            if isinstance(granted, result.Failure):
                return granted
            self._lease = granted.unwrap().id
            self._granted_s = now_s
        written = await self._store.commit(
            job_entries.early_cancellation(job_id, asked_s, self._lease)
        )
        if isinstance(written, result.Failure) and not isinstance(
            written.failure(), transactions.Rejected
        ):
            # The lease may have been lost.
            self._lease = ''
        return written
