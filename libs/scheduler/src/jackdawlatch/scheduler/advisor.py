"""Caches the tickets that allow workers to run steps of advised queues.

The advice service handles one call of a process at a time, so a single loop
requests the tickets that the planner lacked.
"""

import asyncio
import dataclasses
import math
import weakref
from collections.abc import Callable, Iterable, Mapping

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

    def __init__(self, by_worker: Mapping[workers.Worker, str]) -> None:
        self._by_worker = by_worker

    def __len__(self) -> int:
        """Return how many workers may run the step."""
        return len(self._by_worker)

    def of(self, worker: workers.Worker) -> str:
        """Return the ticket for a worker, empty when there is none."""
        return self._by_worker.get(worker, '')


@dataclasses.dataclass(frozen=True)
class _Ticket:
    """A ticket, and until when it is valid."""

    content: str
    valid_until_s: float


class _StepAdvice:
    """The answers on one step, which hold for a whole boot of a worker."""

    def __init__(self) -> None:
        self._refused: weakref.WeakSet[workers.Worker] = weakref.WeakSet()
        self._tickets_by_worker: dict[workers.Worker, _Ticket] = {}
        self._valid = Tickets({})
        self._valid_until_s: float = math.inf

    def tickets(self, now_s: float) -> Tickets:
        """Return the tickets that are valid at a time."""
        if now_s >= self._valid_until_s:
            self._remove_expired(now_s)
        return self._valid

    def covers(self, worker: workers.Worker) -> bool:
        """Whether a request about a worker would tell nothing new."""
        return worker in self._refused or worker in self._tickets_by_worker

    def record(
        self,
        asked: Iterable[workers.Worker],
        advice: reports.Advice,
        requested_s: float,
    ) -> None:
        """Record the answer to a request about some workers."""
        valid_until_s = requested_s + advice.valid_s - VALIDITY_MARGIN_S
        for worker in asked:
            ticket = advice.tickets_by_worker.get(worker.entry.id)
            if ticket is None:
                self._refused.add(worker)
            else:
                self._tickets_by_worker[worker] = _Ticket(ticket, valid_until_s)
        self._remove_expired(requested_s)

    def _remove_expired(self, now_s: float) -> None:
        self._tickets_by_worker = {
            worker: ticket
            for worker, ticket in self._tickets_by_worker.items()
            if ticket.valid_until_s > now_s
        }
        self._valid_until_s = min(
            (one.valid_until_s for one in self._tickets_by_worker.values()),
            default=math.inf,
        )
        self._valid = Tickets(
            {
                worker: ticket.content
                for worker, ticket in self._tickets_by_worker.items()
            }
        )


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
        self._advice_by_step: dict[tasks.StepState, _StepAdvice] = {}
        self._missing: dict[tasks.StepState, None] = {}
        self._scarce: dict[tasks.StepState, None] = {}
        self._wake = asyncio.Event()

    def tickets(self, state: tasks.StepState) -> Tickets:
        """Return the valid tickets; without any, request them in the background."""
        tickets = self._advice(state).tickets(self._cluster.now_s)
        if not tickets:
            self._missing[state] = None
            self._wake.set()
        return tickets

    def request_more(self, state: tasks.StepState) -> None:
        """Request tickets of other workers, after those of all other steps."""
        self._scarce[state] = None
        self._wake.set()

    async def run(self) -> None:
        """Request missing tickets until cancelled."""
        while True:
            await self._wake.wait()
            wanting = self._missing or self._scarce
            if not wanting or not self._leading():
                self._wake.clear()
                continue
            state = next(iter(wanting))
            wanting.pop(state)
            candidates = self._candidates(state)
            if candidates:
                await self._request(state, candidates)

    async def _request(
        self, state: tasks.StepState, candidates: list[workers.Worker]
    ) -> None:
        task = state.tasks[0]
        requested_s = self._cluster.now_s
        advised = await self._client.advise(
            task.id.job,
            task.id.occurrence,
            task.id.step,
            tuple(worker.entry.id for worker in candidates),
        )
        if isinstance(advised, result.Failure):
            logging.info('advice request failed: %s', advised.failure().line())
            await asyncio.sleep(RETRY_S)
            return
        advice = advised.unwrap()
        self._remove_ended()
        recorded = self._advice_by_step.setdefault(state, _StepAdvice())
        recorded.record(candidates, advice, requested_s)
        self._cluster.dependencies.log.note(
            'advice',
            job=task.id.job,
            step=task.id.step,
            asked=len(candidates),
            approved=len(advice.tickets_by_worker),
        )
        self._cluster.on_change()

    def _remove_ended(self) -> None:
        self._advice_by_step = {
            state: advice
            for state, advice in self._advice_by_step.items()
            if not (state.done or state.tasks[0].job.ended)
        }

    def _advice(self, state: tasks.StepState) -> _StepAdvice:
        return self._advice_by_step.get(state) or _StepAdvice()

    def _candidates(self, state: tasks.StepState) -> list[workers.Worker]:
        """Return the workers to ask about.

        A step that has tickets needs others only of workers with capacity.
        """
        job = state.tasks[0].job
        if job.ended:
            return []
        advice = self._advice(state)
        tickets = advice.tickets(self._cluster.now_s)
        found = [
            worker
            for worker in self._cluster.workers_by_id.values()
            if worker.usable
            and worker.entry.service == job.service
            and worker.entry.carries(state.step.required_label)
            and not advice.covers(worker)
        ]
        need = state.step.reserved_room
        if tickets and not any(worker.free.fits(need) for worker in found):
            return []
        found.sort(key=lambda worker: -worker.free.processors_m)
        return found[:MAX_WORKERS]
