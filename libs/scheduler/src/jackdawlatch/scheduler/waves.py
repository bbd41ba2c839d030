"""Carries out maintenance waves within their budgets."""

import asyncio
import dataclasses
from collections.abc import Callable

from absl import logging
from returns import result

from jackdawlatch.model import records
from jackdawlatch.scheduler import (
    book,
    clients,
    ledger,
    orders,
    runs,
    tasks,
    workers,
)
from jackdawlatch.store import transactions

PERIOD_S = 0.2
# Orders about machines of two leaders must not be closer than this.
HANDOVER_S = 3.0
# A worker needs about a heartbeat to be listed after maintenance.
DOWN_FACTOR = 1.5


@dataclasses.dataclass(frozen=True)
class Wave:
    """Machines that are due, at most ``max_count`` down at once."""

    number: int
    machines: tuple[str, ...]
    duration_s: float
    max_count: int


class WaveStatus(records.Record, frozen=True, kw_only=True):
    """What operators are told of a wave."""

    number: int
    done: bool


@dataclasses.dataclass(frozen=True)
class Settings:
    """How long a machine's maintenance takes, and how status is written."""

    maintenance_s: float
    notice_s: float
    status: Callable[[WaveStatus], transactions.Put]


@dataclasses.dataclass(frozen=True)
class Parts:
    """What waves are carried out with."""

    book: book.Book
    orders: orders.Orders
    client: clients.MachineClient
    store: transactions.TransactionalStore
    term: ledger.Term
    leading: Callable[[], bool]
    settings: Settings


class _WaveState:
    """How far a wave has come."""

    def __init__(self, wave: Wave) -> None:
        self.wave = wave
        self.begun_s_by_machine: dict[str, float] = {}
        self.told_done: bool | None = None

    @property
    def remaining(self) -> list[str]:
        """The machines whose maintenance has not begun."""
        return [
            machine
            for machine in self.wave.machines
            if machine not in self.begun_s_by_machine
        ]


class Waves:
    """The waves that are asked for."""

    def __init__(self, parts: Parts) -> None:
        self._parts = parts
        self._states_by_number: dict[int, _WaveState] = {}
        self._clock = parts.book.parts.clock

    def take(self, wave: Wave) -> None:
        """Carry out a wave, unless it is known."""
        if wave.number not in self._states_by_number:
            self._states_by_number[wave.number] = _WaveState(wave)

    async def run(self) -> None:
        """Carry out waves until cancelled."""
        await asyncio.sleep(HANDOVER_S)
        while True:
            for state in tuple(self._states_by_number.values()):
                if self._parts.leading() and not state.told_done:
                    await self._advance(state)
            await asyncio.sleep(PERIOD_S)

    async def _advance(self, state: _WaveState) -> None:
        if not state.remaining:
            await self._tell(state, done=True)
            return
        if state.told_done is None:
            await self._tell(state, done=False)
        by_machine = {
            worker.entry.machine: worker
            for worker in self._parts.book.workers_by_id.values()
            if worker.listed
        }
        slots = state.wave.max_count - self._down(state)
        chosen = sorted(
            state.remaining, key=lambda name: _effort(by_machine.get(name))
        )[: max(0, slots)]
        for machine in state.remaining:
            worker = by_machine.get(machine)
            if worker is not None:
                worker.cordoned = machine in chosen
        for machine in chosen:
            await self._maintain(state, machine, by_machine.get(machine))

    def _down(self, state: _WaveState) -> int:
        now_s = self._clock.monotonic_s()
        # A machine counts until its next worker has surely come up.
        down_s = self._parts.settings.maintenance_s * DOWN_FACTOR
        return sum(
            now_s - begun_s < down_s
            for begun_s in state.begun_s_by_machine.values()
        )

    async def _maintain(
        self, state: _WaveState, machine: str, worker: workers.Worker | None
    ) -> None:
        if worker is not None and not self._vacated(worker):
            return
        if not self._parts.leading():
            return
        begun = await self._parts.client.maintain(
            machine, state.wave.number, self._parts.term.token
        )
        if isinstance(begun, result.Failure):
            logging.info('maintenance of %s: %s', machine, begun.failure())
            return
        state.begun_s_by_machine[machine] = self._clock.monotonic_s()
        log = self._parts.book.parts.log
        log.note('maintenance', machine=machine, wave=state.wave.number)
        if worker is not None:
            for run in tuple(worker.runs_by_task.values()):
                self._parts.book.release(run, 'maintenance')
            worker.listed = False

    def _vacated(self, worker: workers.Worker) -> bool:
        """Whether a worker may go down; asks lasting tasks to move."""
        empty = True
        for run in tuple(worker.runs_by_task.values()):
            empty = False
            if run.task.step.lasting and run.phase is runs.RunPhase.RUNNING:
                if may_leave(run.task):
                    self._parts.orders.stop(worker, run.name)
        return empty

    async def _tell(self, state: _WaveState, done: bool) -> None:
        told = await self._parts.store.commit(
            transactions.Transaction(
                puts=(
                    self._parts.settings.status(
                        WaveStatus(number=state.wave.number, done=done)
                    ),
                )
            )
        )
        if not isinstance(told, result.Failure):
            state.told_done = done


def may_leave(task: tasks.Task) -> bool:
    """Whether stopping a lasting task keeps its step within its budget."""
    step = task.step
    if not step.max_unavailable:
        return True
    state = task.job.step_of(task.id.occurrence, task.id.step)
    others_away = state.away() - (not task.serving)
    return others_away < step.max_unavailable


def _effort(worker: workers.Worker | None) -> tuple[int, int]:
    """Order machines: those without runs first, then the already cordoned."""
    if worker is None:
        return (0, 0)
    return (not worker.cordoned, len(worker.runs_by_task))
