"""The leader's view of a shard's jobs, from the watch and its own writes."""

import types
from collections.abc import Iterable, Mapping

import msgspec

from jackdawlatch.model import records, work
from jackdawlatch.placement import buckets, transitions
from jackdawlatch.store import keyvalue

# Order of the states within one attempt.
_ORDER_BY_STATE: Mapping[work.JobState, int] = types.MappingProxyType(
    {
        work.JobState.ASSIGNED: 0,
        work.JobState.RUNNING: 1,
        work.JobState.QUEUED: 2,
    }
)
_FINAL_ORDER = 3


class View:
    """Keeps the latest state of each job that has not ended.

    The watch may deliver an older state than one that was just written, so
    older states are ignored.
    """

    def __init__(self) -> None:
        self.queued_by_id: dict[str, work.Job] = {}
        self.live_by_id: dict[str, work.Job] = {}
        self._ended_by_id: dict[str, tuple[int, int, bool]] = {}
        self._ids_by_bucket: dict[str, frozenset[str]] = {}

    def clear(self) -> None:
        """Drop all jobs."""
        self.queued_by_id.clear()
        self.live_by_id.clear()
        self._ended_by_id.clear()
        self._ids_by_bucket.clear()

    def apply(self, entries: Iterable[keyvalue.Entry]) -> None:
        """Apply buckets received from the store."""
        for entry in entries:
            bucket = _decoded(entry)
            for job in bucket.jobs_by_id.values():
                self.update(job)
            self._drop_removed(entry.key, frozenset(bucket.jobs_by_id))

    def update(self, job: work.Job) -> None:
        """Apply the state of a job, unless a later one is known."""
        if _progress(job) <= self._latest_progress(job.id):
            return
        self.queued_by_id.pop(job.id, None)
        self.live_by_id.pop(job.id, None)
        if job.state is work.JobState.QUEUED:
            self.queued_by_id[job.id] = job
        elif job.state in transitions.LIVE:
            self.live_by_id[job.id] = job
        else:
            self._ended_by_id[job.id] = _progress(job)

    def _latest_progress(self, job_id: str) -> tuple[int, int, bool]:
        known = self.queued_by_id.get(job_id) or self.live_by_id.get(job_id)
        if known:
            return _progress(known)
        return self._ended_by_id.get(job_id, (-1, 0, False))

    def _drop_removed(self, key: str, ids: frozenset[str]) -> None:
        # Jobs are removed from a bucket only after they have ended.
        for job_id in self._ids_by_bucket.get(key, frozenset()) - ids:
            self._ended_by_id.pop(job_id, None)
        self._ids_by_bucket[key] = ids


def _progress(job: work.Job) -> tuple[int, int, bool]:
    order = _ORDER_BY_STATE.get(job.state, _FINAL_ORDER)
    return (job.attempt, order, job.cancel)


def _decoded(entry: keyvalue.Entry) -> buckets.Bucket:
    if entry.deleted:
        return buckets.Bucket()
    try:
        return records.decode(entry.value, buckets.Bucket)
    except msgspec.MsgspecError:
        return buckets.Bucket()
