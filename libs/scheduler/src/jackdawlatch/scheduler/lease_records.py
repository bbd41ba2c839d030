"""Keeps how long the lease of an unreachable worker may last, for next leaders.

A next leader cannot know when a lease was last extended.  Without a record it
assumes a whole lease, so that leaders that change often would never restart the
tasks of a lost worker.  While a record stands, the lease is not extended and
nothing is started on the worker.
"""

import functools

from jackdawlatch.scheduler import cluster_state, workers

RECORD_PERIOD_S = 0.5


class LeaseRecords:
    """Writes and clears the records, in the progress of the jobs concerned."""

    def __init__(self, cluster: cluster_state.ClusterState) -> None:
        self._cluster = cluster

    def update(self, worker: workers.Worker) -> None:
        """Record the rest of the lease, if the worker is unreachable."""
        now_s = self._cluster.now_s
        known = worker.lease.record
        if worker.reachable or not worker.runs_by_task:
            return
        if known is None or now_s - known.written_s >= RECORD_PERIOD_S:
            # The time until it is read is not subtracted: the rest is an
            # upper bound, whatever the clocks of the hosts say.
            worker.lease.record = workers.LeaseRecord(
                left_s=max(0, worker.lease.end_s - now_s), written_s=now_s
            )
            self._write(worker)

    def clear(self, worker: workers.Worker) -> None:
        """Remove the record of a worker that answers again."""
        known = worker.lease.record
        if known is None or known.left_s is None:
            return
        cleared = workers.LeaseRecord(None, self._cluster.now_s)
        worker.lease.record = cleared
        if not self._write(worker, cleared):
            worker.lease.record = None

    def _write(
        self,
        worker: workers.Worker,
        cleared: workers.LeaseRecord | None = None,
    ) -> bool:
        """Queue the jobs with runs on a worker; return whether there are any."""
        jobs = {run.task.job for run in worker.runs_by_task.values()}
        on_stored = None
        if cleared is not None:
            on_stored = functools.partial(self._end_clear, worker, cleared)
        for job in jobs:
            self._cluster.dependencies.progress_writer.enqueue(job, on_stored)
        return bool(jobs)

    def _end_clear(
        self, worker: workers.Worker, cleared: workers.LeaseRecord
    ) -> None:
        # A later record may have replaced the cleared one.
        if worker.lease.record is cleared:
            worker.lease.record = None
            self._cluster.on_change()
