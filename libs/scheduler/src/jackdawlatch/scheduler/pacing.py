"""Limits the pace of filler tasks, so that serving tasks meet their targets.

Filler tasks (``Step.fills``) use the processor time that others leave.
"""

import asyncio
import dataclasses
from collections.abc import Callable, Mapping

from returns import result

from jackdawlatch.scheduler import (
    clients,
    fences,
    runs,
    workers,
)

PERIOD_S = 0.5
# Fractions of the latency target: fillers are slowed before it is missed.
SLOW_FRACTION = 0.9
RAISE_FRACTION = 0.6
RAISE_PERCENT = 25
FULL_PERCENT = 100


@dataclasses.dataclass(frozen=True)
class Dependencies:
    """Collaborators of the filler pacer."""

    workers_by_id: Mapping[str, workers.Worker]
    client: clients.WorkerClient
    fences: fences.Fences
    leading: Callable[[], bool]


class FillerPacer:
    """Halves the pace of fillers next to a slow task, and raises it in steps."""

    def __init__(self, dependencies: Dependencies) -> None:
        self._dependencies = dependencies

    async def run(self) -> None:
        """Adjust the pace of all fillers until cancelled."""
        while True:
            await asyncio.sleep(PERIOD_S)
            for worker in tuple(self._dependencies.workers_by_id.values()):
                if self._dependencies.leading() and worker.reachable:
                    await self._adjust(worker)

    async def _adjust(self, worker: workers.Worker) -> None:
        running = [
            run
            for run in worker.runs_by_task.values()
            if run.phase is runs.RunPhase.RUNNING
        ]
        fillers = [run for run in running if run.task.step.fills]
        token = self._dependencies.fences.token(worker)
        if not fillers or token is None:
            return
        latency_ratio = max(
            (
                run.gauge / run.task.step.tail_target_ms
                for run in running
                if run.task.step.tail_target_ms and not run.task.step.fills
            ),
            default=0,
        )
        for run in fillers:
            pace_percent = next_pace_percent(run.pace_percent, latency_ratio)
            if pace_percent != run.pace_percent:
                paced = await self._dependencies.client.set_pace(
                    worker.target,
                    run.run_id,
                    pace_percent,
                    token,
                )
                if not isinstance(paced, result.Failure):
                    run.pace_percent = pace_percent


def next_pace_percent(pace_percent: int, latency_ratio: float) -> int:
    """Return the next pace.

    ``latency_ratio`` is the highest ratio of a tail latency to its target.
    """
    if latency_ratio > SLOW_FRACTION:
        return 0 if latency_ratio > 1 else pace_percent // 2
    if latency_ratio < RAISE_FRACTION:
        return min(FULL_PERCENT, pace_percent + RAISE_PERCENT)
    return pace_percent
