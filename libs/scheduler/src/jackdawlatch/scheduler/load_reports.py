"""Publishes how long new work waits, while a service is overloaded."""

import asyncio
import dataclasses
from collections.abc import Callable, Mapping

from returns import result

from jackdawlatch.jobs import stored, stored_load
from jackdawlatch.model import records
from jackdawlatch.policy import backlog
from jackdawlatch.scheduler import cluster_state, load_forecasts, persistence
from jackdawlatch.store import keyvalue, transactions

PERIOD_S = 1.0
# By then a new leader has polled the workers and divided the machines.
SETTLE_S = 3.0

Levels = Mapping[str, tuple[backlog.Level, ...]]


@dataclasses.dataclass(frozen=True)
class Dependencies:
    """Collaborators of the load reports.

    ``machines`` returns the machines that services will get.
    """

    cluster: cluster_state.ClusterState
    store: transactions.TransactionalStore
    term: persistence.Term
    leading: Callable[[], bool]
    machines: Callable[[], load_forecasts.Machines]


class LoadReporter:
    """Forecasts the load of each service for the entries."""

    def __init__(self, dependencies: Dependencies) -> None:
        self._dependencies = dependencies
        self._forecaster = load_forecasts.Forecaster(dependencies.cluster)
        self._revision = keyvalue.ABSENT
        self._published: Levels = {}

    async def run(self) -> None:
        """Publish forecasts until cancelled."""
        await asyncio.sleep(SETTLE_S)
        while True:
            if self._dependencies.leading():
                await self.publish()
            await asyncio.sleep(PERIOD_S)

    async def publish(self) -> None:
        """Publish the forecast, once more after the overload has ended."""
        levels = self._forecaster.levels(self._dependencies.machines())
        if not levels and not self._published:
            return
        if bool(levels) != bool(self._published):
            self._note(levels)
        written = await self._write(levels)
        if not written:
            # The first write of a term finds out the revision.
            written = await self._write(levels)
        if written:
            self._published = levels

    async def _write(self, levels: Levels) -> bool:
        """Write a forecast, unless a write that is carried out late did."""
        term = self._dependencies.term
        load = stored_load.Load(
            token=term.token,
            levels_by_service={
                service: tuple(stored_load.LoadLevel(*level) for level in waits)
                for service, waits in levels.items()
            },
        )
        written = await self._dependencies.store.commit(
            transactions.Transaction(
                conditions=(
                    transactions.Condition(
                        key=stored.LEADER_KEY, revision=term.token
                    ),
                    transactions.Condition(
                        key=stored.LOAD_KEY, revision=self._revision
                    ),
                ),
                puts=(
                    transactions.Put(
                        key=stored.LOAD_KEY, content=records.encode(load)
                    ),
                ),
            )
        )
        if isinstance(written, result.Success):
            self._revision = written.unwrap()
            return True
        failure = written.failure()
        if isinstance(failure, transactions.Rejected):
            self._revision = failure.revisions_by_key.get(
                stored.LOAD_KEY, keyvalue.ABSENT
            )
        return False

    def _note(self, levels: Levels) -> None:
        cluster = self._dependencies.cluster
        cluster.dependencies.log.note(
            'overload' if levels else 'overload-ended',
            **{
                f'wait_s_{service}': round(waits[-1].late_wait_s, 1)
                for service, waits in levels.items()
            },
        )
