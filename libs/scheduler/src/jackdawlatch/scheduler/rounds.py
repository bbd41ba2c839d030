"""Planning rounds: place waiting tasks whenever the cluster state changed."""

import asyncio
import dataclasses
from collections.abc import Callable, Collection

from jackdawlatch.scheduler import (
    advisor,
    clients,
    cluster_state,
    dispatch,
    job_order,
    lateness,
    planner,
    round_costs,
    round_times,
    supervision,
    waiting,
    workers,
)

# Batches the updates of a few event-loop turns into one planning round.
PLAN_DELAY_S = 0.01
# Pause after a round, as a multiple of its duration.  A round frees no machine,
# and what it decides waits for the writes, starts and polls of the same loop.
PAUSE_FACTOR = 3
# A host that was suspended during a round does not pause for as long again.
MAX_PAUSE_S = 0.25


@dataclasses.dataclass(frozen=True)
class Dependencies:
    """Collaborators of the planning rounds.

    ``withheld`` returns the machines that take no late jobs.
    """

    cluster: cluster_state.ClusterState
    dispatcher: dispatch.Dispatcher
    advice_client: clients.AdviceClient
    job_lateness: lateness.Lateness
    leading: Callable[[], bool]
    withheld: Callable[[], Collection[str]]


class PlanningRounds:
    """Plans after each change while this process leads."""

    def __init__(self, dependencies: Dependencies) -> None:
        self._dependencies = dependencies
        self._wake = asyncio.Event()
        self._wait_reporter = waiting.WaitReporter(dependencies.cluster)
        self._costs = round_costs.RoundCosts(dependencies.cluster)
        self._advisor = advisor.Advisor(
            dependencies.cluster,
            dependencies.advice_client,
            dependencies.leading,
        )
        self._planner = planner.Planner(
            job_order.ObjectiveOrder(dependencies.job_lateness),
            dependencies.job_lateness,
            self._advisor,
            dependencies.cluster.dependencies.late_starts,
        )

    def loops(self) -> tuple[supervision.Loop, ...]:
        """Return the loops that run for the whole term."""
        return (self._run, self._advisor.run)

    def wake(self) -> None:
        """Plan again soon, since the cluster state changed."""
        self._wake.set()

    async def _run(self) -> None:
        clock = self._dependencies.cluster.dependencies.clock
        pause_s = PLAN_DELAY_S
        while True:
            await self._wake.wait()
            due_s = clock.monotonic_s() + pause_s
            await asyncio.sleep(pause_s)
            self._wake.clear()
            if self._dependencies.leading():
                begun_s = clock.monotonic_s()
                plan = self._plan()
                took_s = clock.monotonic_s() - begun_s
                self._costs.add(took_s, begun_s - due_s, plan)
                pause_s = min(
                    MAX_PAUSE_S, max(PLAN_DELAY_S, PAUSE_FACTOR * took_s)
                )

    def _plan(self) -> planner.Plan:
        cluster = self._dependencies.cluster
        candidates: dict[str, list[workers.Worker]] = {}
        for worker in cluster.workers_by_id.values():
            candidates.setdefault(worker.entry.service, []).append(worker)
        clock = cluster.dependencies.clock
        plan = self._planner.plan(
            cluster.jobs_by_id.values(),
            candidates,
            round_times.RoundTime(clock.monotonic_s(), clock.wall_s()),
            self._dependencies.withheld(),
        )
        self._dependencies.dispatcher.place(plan.placements)
        if self._wait_reporter.due:
            self._wait_reporter.report(plan.unplaced)
        return plan
