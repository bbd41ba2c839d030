"""Keeps how long the leases of unreachable workers may last, for next leaders.

A next leader cannot know when a lease was last extended.  Without a record it
assumes a whole lease, so that leaders that change often would never restart the
tasks of a lost worker.  While a record stands, the lease is not extended and
nothing is started on the worker.

The starts that got no answer are recorded as well: an unknown boot may have
their runs, with the longest lease, or may still carry them out.

One key holds the records of all workers.  It is never deleted, so that a
delayed write cannot find the revision that it requires once more.
"""

import asyncio
import contextlib
import dataclasses
from collections.abc import Callable

from absl import logging
from returns import result

from jackdawlatch.jobs import start_rests, stored
from jackdawlatch.model import records
from jackdawlatch.scheduler import (
    calls,
    cluster_state,
    late_starts,
    observers,
    persistence,
    runs,
    workers,
)
from jackdawlatch.store import keyvalue, transactions

CHECK_PERIOD_S = 0.2
# The records are rewritten, since a process that starts later counts from when
# it reads them.
REFRESH_PERIOD_S = 1.0
# Workers that answer again within this time share a write.
BATCH_DELAY_S = 0.02


@dataclasses.dataclass(frozen=True)
class Dependencies:
    """Collaborators of the lease records."""

    cluster: cluster_state.ClusterState
    store: transactions.TransactionalStore
    term: persistence.Term
    sightings: observers.LeaseSightings
    progress_writer: persistence.ProgressWriter
    leading: Callable[[], bool]


class LeaseRecords:
    """Writes and clears the records.

    ``lease_records_by_boot`` of the cluster state holds every record that the
    store may hold.
    """

    def __init__(self, dependencies: Dependencies) -> None:
        self._dependencies = dependencies
        self._cluster = dependencies.cluster
        self._revision = keyvalue.ABSENT
        self._written_s: float = 0
        self._recorded_starts: set[calls.RunId | late_starts.Key] = set()
        self._episodes = 0
        self._pending = False
        self._wake = asyncio.Event()

    async def load(self) -> bool:
        """Read what the leader before wrote; return whether it was read."""
        read = await self._dependencies.store.get(stored.LEASES_KEY)
        if isinstance(read, result.Failure):
            return False
        entry = read.unwrap()
        if entry is not None:
            self._revision = entry.revision
            self._pending = True
            self._dependencies.sightings.observe(entry)
            self._cluster.lease_records_by_boot = dict(
                self._dependencies.sightings.records_by_boot
            )
            self._cluster.dependencies.late_starts.bind(
                self._dependencies.sightings.late_starts
            )
        return True

    def clear(self) -> None:
        """Clear the records of the workers that answer again."""
        self._wake.set()

    def add_unanswered(self, run: runs.Run) -> None:
        """Count and record the lease that an unknown boot may give a run."""
        run.worker.lease.expect_unknown_boot(
            run, self._cluster.dependencies.bounds.lease_s, self._cluster.now_s
        )
        self._wake.set()

    async def run(self) -> None:
        """Update the records until cancelled."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CHECK_PERIOD_S):
                    await self._wake.wait()
            await asyncio.sleep(BATCH_DELAY_S)
            self._wake.clear()
            if self._dependencies.leading() and self._is_due():
                await self._write(self._current())

    def _is_due(self) -> bool:
        if self._pending or any(
            _is_changed(worker)
            for worker in self._cluster.workers_by_id.values()
        ):
            return True
        if self._recorded_starts != _recorded_starts(self._cluster):
            return True
        age_s = self._cluster.now_s - self._written_s
        recorded = self._cluster.lease_records_by_boot or self._recorded_starts
        return bool(recorded) and age_s >= REFRESH_PERIOD_S

    def _current(self) -> dict[workers.Boot, workers.LeaseRecord]:
        """Return the records of all lost workers, of which some are new."""
        current = {}
        for worker in self._cluster.workers_by_id.values():
            if _is_unrecorded(worker):
                # From now on the lease is not extended.
                worker.lease.record = self._new_record(worker)
            record = worker.lease.record
            if record and worker.runs_by_task and not worker.reachable:
                current[worker.entry.boot] = record
        return current

    def _new_record(self, worker: workers.Worker) -> workers.LeaseRecord:
        self._episodes += 1
        return workers.LeaseRecord(
            f'{self._dependencies.term.token}-{self._episodes}',
            worker.lease.end_s,
        )

    async def _write(
        self, current: dict[workers.Boot, workers.LeaseRecord]
    ) -> None:
        self._pending = True
        recorded = self._cluster.lease_records_by_boot
        if recorded.keys() - current.keys():
            # A next leader that reads neither a record nor the release of the
            # runs would wait for a whole lease.
            await self._dependencies.progress_writer.flush()
        recorded.update(current)
        starts = _recorded_starts(self._cluster)
        written = await self._dependencies.store.commit(
            self._transaction(current)
        )
        if isinstance(written, result.Success):
            self._revision = written.unwrap()
            self._recorded_starts = starts
            self._written_s = self._cluster.now_s
            self._pending = False
            self._forget_others(current)
            return
        self._wake.set()
        failure = written.failure()
        if isinstance(failure, transactions.Rejected):
            self._update_revision(failure)
        else:
            logging.info('lease records were not written: %s', failure.line())
            await asyncio.sleep(persistence.RETRY_S)

    def _transaction(
        self, current: dict[workers.Boot, workers.LeaseRecord]
    ) -> transactions.Transaction:
        now_s = self._cluster.now_s
        # The time until it is read is not subtracted: the rest is an upper
        # bound, whatever the clocks of the hosts say.
        rests = tuple(
            stored.LeaseRest(
                worker_id, born_ms, record.episode, record.end_s - now_s
            )
            for (worker_id, born_ms), record in current.items()
        )
        return transactions.Transaction(
            conditions=(
                transactions.Condition(
                    key=stored.LEADER_KEY,
                    revision=self._dependencies.term.token,
                ),
                transactions.Condition(
                    key=stored.LEASES_KEY, revision=self._revision
                ),
            ),
            puts=(
                transactions.Put(
                    key=stored.LEASES_KEY,
                    content=records.pack(
                        stored.Leases(
                            rests=rests,
                            starts=_start_rests(self._cluster),
                            late_starts=_late_start_rests(self._cluster),
                        )
                    ),
                ),
            ),
        )

    def _forget_others(
        self, current: dict[workers.Boot, workers.LeaseRecord]
    ) -> None:
        self._cluster.lease_records_by_boot = current
        cleared = False
        for worker in self._cluster.workers_by_id.values():
            known = worker.lease.record is not None
            if known and worker.entry.boot not in current:
                worker.lease.record = None
                cleared = True
        if cleared:
            self._cluster.on_change()

    def _update_revision(self, rejected: transactions.Rejected) -> None:
        revisions_by_key = rejected.revisions_by_key
        token = self._dependencies.term.token
        if revisions_by_key.get(stored.LEADER_KEY) == token:
            # An earlier write took effect without an answer.
            self._revision = revisions_by_key.get(
                stored.LEASES_KEY, keyvalue.ABSENT
            )
        else:
            self._dependencies.progress_writer.deposed.set()


def _start_ends_s(
    cluster: cluster_state.ClusterState,
) -> dict[calls.RunId, float]:
    """Return until when unknown boots may have the runs of unanswered starts."""
    return {
        run.run_id: end_s
        for worker in cluster.workers_by_id.values()
        for run, end_s in worker.lease.unanswered_end_s_by_run.items()
    }


def _recorded_starts(
    cluster: cluster_state.ClusterState,
) -> set[calls.RunId | late_starts.Key]:
    return {
        *_start_ends_s(cluster),
        *cluster.dependencies.late_starts.until_s_by_key(),
    }


def _start_rests(
    cluster: cluster_state.ClusterState,
) -> tuple[start_rests.StartRest, ...]:
    return tuple(
        start_rests.StartRest(
            run_id.task.job,
            run_id.task.occurrence,
            run_id.task.step,
            run_id.task.index,
            run_id.attempt,
            end_s - cluster.now_s,
        )
        for run_id, end_s in _start_ends_s(cluster).items()
    )


def _late_start_rests(
    cluster: cluster_state.ClusterState,
) -> tuple[start_rests.LateStartRest, ...]:
    return tuple(
        start_rests.LateStartRest(
            task.job,
            task.occurrence,
            task.step,
            task.index,
            worker_id,
            until_s - cluster.now_s,
        )
        for (task, worker_id), until_s in (
            cluster.dependencies.late_starts.until_s_by_key().items()
        )
    )


def _is_changed(worker: workers.Worker) -> bool:
    """Whether the record of a worker is missing, or has to be cleared."""
    return _is_unrecorded(worker) or (
        worker.lease.record is not None and worker.reachable
    )


def _is_unrecorded(worker: workers.Worker) -> bool:
    """Whether a lost worker has no record, or one that ends too early.

    A later boot may be found after the loss, with a longer lease.
    """
    record = worker.lease.record
    outdated = record is None or record.end_s < worker.lease.end_s
    return outdated and _is_lost(worker)


def _is_lost(worker: workers.Worker) -> bool:
    """Whether a worker has runs and is known not to answer."""
    known = worker.health.silent or not worker.registered
    return known and not worker.reachable and bool(worker.runs_by_task)
