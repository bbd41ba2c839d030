"""Keeps which machines of a wave had their maintenance, for next leaders.

A request is recorded before it is sent, so that a next leader counts its
machine as down.  Only an answer shows that the maintenance has begun.

Each wave has one key, which is written together with the status of the wave: a
status that is newer comes from a release without records.  The key is never
deleted, so that a delayed write cannot find the revision that it requires once
more.
"""

import asyncio
import dataclasses
from collections.abc import Callable, Collection, Iterator

from absl import logging
from returns import result

from jackdawlatch.jobs import stored
from jackdawlatch.model import records
from jackdawlatch.scheduler import (
    cluster_state,
    observers,
    persistence,
    wave_states,
)
from jackdawlatch.store import keyvalue, transactions

# Machines that a leader without records took down are up again by then.
HANDOVER_S = 3.0
# While machines that an earlier leader took down may be down, the record is
# rewritten, since each leader counts from when it reads it.
REFRESH_PERIOD_S = 1.0
# The answers to many requests are recorded in between.
BATCH_DELAY_S = 0.5


@dataclasses.dataclass(frozen=True)
class Dependencies:
    """Collaborators of the record of a wave.

    ``status`` returns the write that reports whether the wave is done.
    """

    cluster: cluster_state.ClusterState
    store: transactions.TransactionalStore
    term: persistence.Term
    deposed: asyncio.Event
    maintenance_s: float
    status: Callable[[bool], transactions.Put]


class WaveRecord:
    """Reads and writes the record of one wave, and its status."""

    def __init__(
        self, dependencies: Dependencies, state: wave_states.WaveState
    ) -> None:
        self.state = state
        self._dependencies = dependencies
        self._key = f'{stored.WAVES_PREFIX}{state.wave.number}'
        self._revision = keyvalue.ABSENT
        # What the store holds, None if it is not known.
        self._begun_by_machine: dict[str, bool] | None = None
        self._written_s: float = 0
        # Machines that an earlier leader took down are up again by then.
        self._inherited_until_s: float = 0
        self._usable_s: float | None = None

    async def is_loaded(self) -> bool:
        """Read what earlier leaders wrote, unless that is done.

        Return whether maintenance may be requested.
        """
        if self._usable_s is None:
            await self._load()
        if self._usable_s is None or self.state.reported_done:
            return False
        return self._usable_s <= self._now_s

    def is_due(self) -> bool:
        """Whether the answers to requests have not been recorded for long."""
        return self._now_s - self._written_s > BATCH_DELAY_S

    async def write(self, requested: Collection[str] = ()) -> bool:
        """Write the state of the wave and the requests that are sent next.

        Return whether the store holds them.
        """
        progress = stored.WaveProgress(
            maintenance=tuple(self._maintenance(requested)),
            began_s=_wall_s(self._dependencies.cluster)
            - self.state.countdown.elapsed_s(self._now_s),
        )
        begun_by_machine = _begun_by_machine(progress)
        wave = self.state.wave
        done = not self.state.remaining
        # The rest that is recorded for an earlier request is shorter.
        if not requested and self._is_written(begun_by_machine, done):
            return True
        self._begun_by_machine = None
        written = await self._dependencies.store.commit(
            self._transaction(progress, done)
        )
        if isinstance(written, result.Success):
            self._revision = written.unwrap()
            self._written_s = self._now_s
            self._begun_by_machine = begun_by_machine
            # The wave may have been changed meanwhile.
            self.state.reported_done = done if wave == self.state.wave else None
            return True
        failure = written.failure()
        if isinstance(failure, transactions.Rejected):
            self._update_revision(failure)
        else:
            logging.info('wave record was not written: %s', failure.line())
        return False

    @property
    def _now_s(self) -> float:
        return self._dependencies.cluster.now_s

    async def _load(self) -> None:
        status = self._dependencies.status(True)
        reported = await self._dependencies.store.get(status.key)
        read = await self._dependencies.store.get(self._key)
        if isinstance(reported, result.Failure) or isinstance(
            read, result.Failure
        ):
            return
        self._usable_s = self._now_s
        self._written_s = self._now_s
        entry = read.unwrap()
        if entry is not None:
            self._restore(entry)
        self._apply_status(reported.unwrap(), status.content)

    def _restore(self, entry: keyvalue.Entry) -> None:
        self._revision = entry.revision
        progress = observers.decode(entry, stored.WaveProgress)
        if progress is None:
            # It may have named machines that are down.
            self._usable_s = self._now_s + HANDOVER_S
            return
        for maintenance in progress.maintenance:
            self.state.restore(maintenance, self._now_s)
        if progress.began_s:
            age_s = _wall_s(self._dependencies.cluster) - progress.began_s
            self.state.countdown.restore(age_s, self._now_s)
        self._begun_by_machine = _begun_by_machine(progress)
        self._inherited_until_s = max(
            self.state.up_s_by_machine.values(), default=0
        )

    def _apply_status(
        self, reported: keyvalue.Entry | None, done: bytes
    ) -> None:
        if reported is None:
            return
        recorded = reported.revision <= self._revision
        if reported.value == done:
            # The wave may have been extended since.
            self.state.reported_done = (
                None if recorded and self.state.remaining else True
            )
        elif recorded:
            self.state.reported_done = False
        else:
            self._usable_s = self._now_s + HANDOVER_S

    def _maintenance(
        self, requested: Collection[str]
    ) -> Iterator[stored.Maintenance]:
        """Return the machines that had or may have their maintenance.

        A request may be carried out until the next leader reads the record, or
        later, so its time counts from there.
        """
        now_s = self._now_s
        down_s = self._dependencies.maintenance_s
        # Machines that have left the wave may still be down.
        for machine in dict.fromkeys(
            (*self.state.wave.machines, *self.state.up_s_by_machine)
        ):
            left_s = self.state.up_s_by_machine.get(machine, now_s) - now_s
            if machine in self.state.begun:
                yield stored.Maintenance(machine, True, max(left_s, 0))
            elif machine in requested:
                yield stored.Maintenance(
                    machine, False, down_s + wave_states.UNANSWERED_SLACK_S
                )
            elif left_s > 0:
                yield stored.Maintenance(machine, False, left_s)

    def _is_written(
        self, begun_by_machine: dict[str, bool], done: bool
    ) -> bool:
        outdated = (
            self._now_s < self._inherited_until_s
            and self._now_s - self._written_s >= REFRESH_PERIOD_S
        )
        recorded = begun_by_machine == self._begun_by_machine
        return recorded and self.state.reported_done is done and not outdated

    def _transaction(
        self, progress: stored.WaveProgress, done: bool
    ) -> transactions.Transaction:
        puts = [transactions.Put(key=self._key, content=records.pack(progress))]
        if self.state.reported_done is not done:
            puts.append(self._dependencies.status(done))
        return transactions.Transaction(
            conditions=(
                transactions.Condition(
                    key=stored.LEADER_KEY,
                    revision=self._dependencies.term.token,
                ),
                transactions.Condition(key=self._key, revision=self._revision),
            ),
            puts=tuple(puts),
        )

    def _update_revision(self, rejected: transactions.Rejected) -> None:
        revisions_by_key = rejected.revisions_by_key
        token = self._dependencies.term.token
        if revisions_by_key.get(stored.LEADER_KEY) == token:
            # An earlier write took effect without an answer.
            self._revision = revisions_by_key.get(self._key, keyvalue.ABSENT)
        else:
            self._dependencies.deposed.set()


def _begun_by_machine(progress: stored.WaveProgress) -> dict[str, bool]:
    return {row.machine: row.begun for row in progress.maintenance}


def _wall_s(cluster: cluster_state.ClusterState) -> float:
    clock = cluster.dependencies.clock
    return clock.wall_s()
