"""Caches the tickets that allow workers to run steps of advised queues.

The advice service handles one call of a process at a time, so a single loop
requests the tickets that the planner lacked.
"""

import asyncio
from collections.abc import Callable

from absl import logging
from returns import result

from jackdawlatch.scheduler import (
    clients,
    cluster_state,
    reports,
    tasks,
    workers,
)

# A call takes a fixed time, plus some for each worker named in it.
MAX_WORKERS = 30
RETRY_S = 0.2
# A start has to reach its worker before its ticket becomes invalid.
VALIDITY_MARGIN_S = 0.5


class Tickets:
    """The tickets of one step that are valid now."""

    def __init__(self, by_worker: dict[str, str]) -> None:
        self._by_worker = by_worker

    def of(self, worker: workers.Worker) -> str:
        """Return the ticket for a worker, empty when there is none."""
        return self._by_worker.get(worker.entry.id, '')


class _CachedAdvice:
    """The advice on one step, and until when it is valid."""

    def __init__(self, advice: reports.Advice, now_s: float) -> None:
        self.tickets = Tickets(advice.tickets_by_worker)
        self.valid_until_s = now_s + advice.valid_s - VALIDITY_MARGIN_S


class Advisor:
    """Requests and caches the tickets of all steps."""

    def __init__(
        self,
        cluster: cluster_state.ClusterState,
        client: clients.AdviceClient,
        leading: Callable[[], bool],
    ) -> None:
        self._cluster = cluster
        self._client = client
        self._leading = leading
        self._advice_by_step: dict[tasks.StepState, _CachedAdvice] = {}
        self._missing: dict[tasks.StepState, None] = {}
        self._wake = asyncio.Event()

    def tickets(self, state: tasks.StepState) -> Tickets:
        """Return the valid tickets; without any, request them in the background."""
        cached = self._advice_by_step.get(state)
        if cached is not None and cached.valid_until_s > self._cluster.now_s:
            return cached.tickets
        self._missing[state] = None
        self._wake.set()
        return Tickets({})

    async def run(self) -> None:
        """Request missing tickets until cancelled."""
        while True:
            await self._wake.wait()
            if not self._missing or not self._leading():
                self._wake.clear()
                continue
            state = next(iter(self._missing))
            self._missing.pop(state)
            if not state.tasks[0].job.ended:
                await self._request(state)

    async def _request(self, state: tasks.StepState) -> None:
        task = state.tasks[0]
        requested_s = self._cluster.now_s
        advised = await self._client.advise(
            task.id.job,
            task.id.occurrence,
            task.id.step,
            self._candidate_ids(state),
        )
        if isinstance(advised, result.Failure):
            logging.info('advice request failed: %s', advised.failure().line())
            await asyncio.sleep(RETRY_S)
            return
        advice = advised.unwrap()
        self._advice_by_step[state] = _CachedAdvice(advice, requested_s)
        self._cluster.dependencies.log.note(
            'advice',
            job=task.id.job,
            step=task.id.step,
            approved=len(advice.tickets_by_worker),
        )
        self._cluster.on_change()

    def _candidate_ids(self, state: tasks.StepState) -> tuple[str, ...]:
        service = state.tasks[0].job.service
        found = [
            worker
            for worker in self._cluster.workers_by_id.values()
            if worker.usable and worker.entry.service == service
        ]
        found.sort(key=lambda worker: -worker.free.processors_m)
        return tuple(worker.entry.id for worker in found[:MAX_WORKERS])
