"""Asks which workers may run a step of an advised queue, and keeps tickets.

The advice service handles one call of a process at a time, so there is one
loop, which asks for the steps that the planner wanted last.
"""

import asyncio
from collections.abc import Callable

from absl import logging
from returns import result

from jackdawlatch.scheduler import book, clients, reports, tasks, workers

# A call takes a fixed time and more for each worker that is named.
MOST_WORKERS = 30
RETRY_S = 0.2
# A start that carries the ticket has to arrive before it is invalid.
MARGIN_S = 0.5


class Tickets:
    """The tickets of one step that are valid now."""

    def __init__(self, by_worker: dict[str, str]) -> None:
        self._by_worker = by_worker

    def of(self, worker: workers.Worker) -> str:
        """Return the ticket for a worker, empty when there is none."""
        return self._by_worker.get(worker.entry.id, '')


class _Known:
    """What was told of one step."""

    def __init__(self, advice: reports.Advice, now_s: float) -> None:
        self.tickets = Tickets(advice.tickets_by_worker)
        self.valid_until_s = now_s + advice.valid_s - MARGIN_S


class Advisor:
    """The tickets of all steps."""

    def __init__(
        self,
        own: book.Book,
        client: clients.AdviceClient,
        leading: Callable[[], bool],
    ) -> None:
        self._book = own
        self._client = client
        self._leading = leading
        self._known_by_step: dict[tasks.StepState, _Known] = {}
        self._wanted: dict[tasks.StepState, None] = {}
        self._wake = asyncio.Event()

    def tickets(self, state: tasks.StepState) -> Tickets:
        """Return what is valid; asks for more in the background."""
        known = self._known_by_step.get(state)
        if known is not None and known.valid_until_s > self._book.now_s:
            return known.tickets
        self._wanted[state] = None
        self._wake.set()
        return Tickets({})

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            await self._wake.wait()
            if not self._wanted or not self._leading():
                self._wake.clear()
                continue
            state = next(iter(self._wanted))
            self._wanted.pop(state)
            if not state.tasks[0].job.ended:
                await self._ask(state)

    async def _ask(self, state: tasks.StepState) -> None:
        task = state.tasks[0]
        asked_s = self._book.now_s
        advised = await self._client.advise(
            task.id.job, task.id.occurrence, task.id.step, self._names(state)
        )
        if isinstance(advised, result.Failure):
            logging.info('no advice: %s', advised.failure().line())
            await asyncio.sleep(RETRY_S)
            return
        advice = advised.unwrap()
        self._known_by_step[state] = _Known(advice, asked_s)
        self._book.parts.log.note(
            'advice',
            job=task.id.job,
            step=task.id.step,
            approved=len(advice.tickets_by_worker),
        )
        self._book.changed()

    def _names(self, state: tasks.StepState) -> tuple[str, ...]:
        service = state.tasks[0].job.service
        found = [
            worker
            for worker in self._book.workers_by_id.values()
            if worker.usable and worker.entry.service == service
        ]
        found.sort(key=lambda worker: -worker.free.processors_m)
        return tuple(worker.entry.id for worker in found[:MOST_WORKERS])
