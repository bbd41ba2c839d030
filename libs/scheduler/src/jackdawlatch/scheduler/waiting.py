"""Logs which tasks have waited long, and why they were not placed."""

from collections.abc import Iterable

from jackdawlatch.scheduler import cluster_state, placements, placing, tasks

PERIOD_S = 1.0
# Placing takes some tens of milliseconds when a worker has room.
LONG_WAIT_S = 2.0
MAX_LINES = 5


class WaitReporter:
    """Notes the longest waits, those of lasting tasks first."""

    def __init__(self, cluster: cluster_state.ClusterState) -> None:
        self._cluster = cluster
        self._since_s_by_step: dict[tasks.StepState, float] = {}
        self._reported_s: float = 0

    @property
    def due(self) -> bool:
        """Whether the last report is a period ago."""
        return self._cluster.now_s - self._reported_s >= PERIOD_S

    def report(self, unplaced: Iterable[placing.StepPlacer]) -> None:
        """Note the longest waits of the steps that were not placed."""
        now_s = self._cluster.now_s
        self._reported_s = now_s
        placers_by_step = {placer.state: placer for placer in unplaced}
        self._since_s_by_step = {
            state: self._since_s_by_step.get(state, now_s)
            for state in placers_by_step
        }
        long_waits = [
            (not state.step.lasting, since_s, number, state)
            for number, (state, since_s) in enumerate(
                self._since_s_by_step.items()
            )
            if now_s - since_s >= LONG_WAIT_S
        ]
        for _, since_s, _, state in sorted(long_waits)[:MAX_LINES]:
            self._note(
                placers_by_step[state].wait(), now_s - since_s, len(long_waits)
            )

    def _note(
        self, wait: placements.Wait, waited_s: float, wait_count: int
    ) -> None:
        state = wait.state
        first = next(
            task
            for task in state.tasks
            if task.phase is tasks.TaskPhase.WAITING
        )
        self._cluster.dependencies.log.note(
            'task-waits',
            task=first.id.name,
            team=first.job.job.team,
            tasks=state.waiting_count,
            lasting=state.step.lasting,
            service=first.job.service,
            waited_s=round(waited_s, 1),
            reason=wait.reason.value,
            known=wait.counts.known,
            cordoned=wait.counts.cordoned,
            usable=wait.counts.usable,
            available=wait.counts.available,
            fitting=wait.counts.fitting,
            open=wait.counts.open,
            waits=wait_count,
        )
