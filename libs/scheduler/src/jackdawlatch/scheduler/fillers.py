"""Paces filling tasks so that the tasks that serve keep their targets."""

import asyncio
import dataclasses
from collections.abc import Callable, Mapping

from returns import result

from jackdawlatch.scheduler import (
    clients,
    ledger,
    runs,
    workers,
)

PERIOD_S = 0.5
# Filling work is slowed before a target is missed.
SLOW_FRACTION = 0.9
RAISE_FRACTION = 0.6
RAISE_PERCENT = 25
FULL_PERCENT = 100


@dataclasses.dataclass(frozen=True)
class Parts:
    """What fillers are paced with."""

    client: clients.WorkerClient
    term: ledger.Term
    leading: Callable[[], bool]


class Fillers:
    """Halves the pace of fillers beside a slow task, raises it in steps."""

    def __init__(self, parts: Parts) -> None:
        self._parts = parts

    async def run(self, workers_by_id: Mapping[str, workers.Worker]) -> None:
        """Pace until cancelled."""
        while True:
            await asyncio.sleep(PERIOD_S)
            for worker in tuple(workers_by_id.values()):
                if self._parts.leading() and worker.reachable:
                    await self._pace(worker)

    async def _pace(self, worker: workers.Worker) -> None:
        running = [
            run
            for run in worker.runs_by_task.values()
            if run.phase is runs.RunPhase.RUNNING
        ]
        filling = [run for run in running if run.task.step.fills]
        if not filling:
            return
        strain = max(
            (
                run.gauge / run.task.step.tail_target_ms
                for run in running
                if run.task.step.tail_target_ms and not run.task.step.fills
            ),
            default=0,
        )
        for run in filling:
            wanted = wanted_pace(run.pace, strain)
            if wanted != run.pace:
                paced = await self._parts.client.pace(
                    worker.target, run.name, wanted, self._parts.term.token
                )
                if not isinstance(paced, result.Failure):
                    run.pace = wanted


def wanted_pace(pace: int, strain: float) -> int:
    """Return the next pace, where ``strain`` 1 is the target itself."""
    if strain > SLOW_FRACTION:
        return 0 if strain > 1 else pace // 2
    if strain < RAISE_FRACTION:
        return min(FULL_PERCENT, pace + RAISE_PERCENT)
    return pace
