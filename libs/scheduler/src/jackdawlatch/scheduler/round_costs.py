"""Logs how much of the loop's time the planning rounds take."""

import collections

from jackdawlatch.scheduler import cluster_state, planner, runs

PERIOD_S = 1.0


class RoundCosts:
    """Sums up the rounds of each period.

    ``lag_s`` is by how much the loop was late at most, which it is while it is
    busy with other work.
    """

    def __init__(self, cluster: cluster_state.ClusterState) -> None:
        self._cluster = cluster
        self._begun_s = cluster.now_s
        self._took_s: list[float] = []
        self._lag_s: float = 0
        self._placed_count = 0

    def add(self, took_s: float, lag_s: float, plan: planner.Plan) -> None:
        """Add a round; write a line if a period has passed."""
        self._took_s.append(took_s)
        self._lag_s = max(self._lag_s, lag_s)
        self._placed_count += len(plan.placements)
        period_s = self._cluster.now_s - self._begun_s
        if period_s >= PERIOD_S:
            self._note(period_s, len(plan.unplaced))
            self._clear()

    def _clear(self) -> None:
        self._begun_s = self._cluster.now_s
        self._took_s = []
        self._lag_s = 0
        self._placed_count = 0

    def _note(self, period_s: float, wait_count: int) -> None:
        phases = collections.Counter(
            run.phase
            for worker in self._cluster.workers_by_id.values()
            for run in worker.runs_by_task.values()
        )
        self._cluster.dependencies.log.note(
            'rounds',
            rounds=len(self._took_s),
            share=round(sum(self._took_s) / period_s, 2),
            longest_s=round(max(self._took_s), 3),
            lag_s=round(self._lag_s, 3),
            placed=self._placed_count,
            waits=wait_count,
            unwritten=phases[runs.RunPhase.WRITING],
            unanswered=phases[runs.RunPhase.ORDERED],
            running=phases[runs.RunPhase.RUNNING],
        )
