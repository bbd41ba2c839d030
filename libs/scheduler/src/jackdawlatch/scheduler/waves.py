"""Carries out maintenance waves within their budgets."""

import asyncio
import dataclasses
from collections.abc import Callable, Iterable, Mapping

from returns import result

from jackdawlatch.model import records
from jackdawlatch.scheduler import (
    book,
    clients,
    ledger,
    orders,
    reports,
    runs,
    tasks,
    workers,
)
from jackdawlatch.store import transactions

PERIOD_S = 0.2
# Machines that another leader took down are up again by then.
HANDOVER_S = 3.0
# The answer to an order comes after the machine went down.
SLACK_S = 0.3
# How much later an order that was not answered may still be carried out.
UNANSWERED_SLACK_S = 3.0
# Short tasks end by themselves in about this time.
VACATE_S = 2.5
# After that the tasks that are left are stopped: some stand still for ever.
PATIENCE_S = 3.0


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
    status: Callable[[WaveStatus], transactions.Put]


@dataclasses.dataclass(frozen=True)
class Parts:
    """What waves are carried out with.

    ``lacking`` names the services that could use more machines.
    """

    book: book.Book
    orders: orders.Orders
    client: clients.MachineClient
    store: transactions.TransactionalStore
    term: ledger.Term
    leading: Callable[[], bool]
    lacking: Callable[[], frozenset[str]]
    settings: Settings


class _WaveState:
    """How far a wave has come."""

    def __init__(self, wave: Wave, now_s: float) -> None:
        self.wave = wave
        self.ends_s = now_s + wave.duration_s
        self.begun: set[str] = set()
        self.up_s_by_machine: dict[str, float] = {}
        self.chosen_s_by_machine: dict[str, float] = {}
        self.told_done: bool | None = None

    @property
    def remaining(self) -> list[str]:
        """The machines whose maintenance has not begun."""
        return [
            machine
            for machine in self.wave.machines
            if machine not in self.begun
        ]

    def slots(self, now_s: float) -> int:
        """Return how many more machines may go down now."""
        down = sum(up_s > now_s for up_s in self.up_s_by_machine.values())
        return max(0, self.wave.max_count - down)

    def note_chosen(self, chosen: Iterable[str], now_s: float) -> None:
        """Note since when each machine is being vacated."""
        self.chosen_s_by_machine = {
            machine: self.chosen_s_by_machine.get(machine, now_s)
            for machine in chosen
        }

    def urgent(self, now_s: float, round_s: float) -> bool:
        """Whether the wave is late if it waits for quieter hours."""
        rounds = -(-len(self.remaining) // max(1, self.wave.max_count))
        return now_s + (rounds + 1) * round_s > self.ends_s


class Waves:
    """The waves that are asked for."""

    def __init__(self, parts: Parts) -> None:
        self._parts = parts
        self._states_by_number: dict[int, _WaveState] = {}

    def take(self, wave: Wave) -> None:
        """Carry out a wave, unless it is known."""
        if wave.number not in self._states_by_number:
            self._states_by_number[wave.number] = _WaveState(
                wave, self._parts.book.now_s
            )

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
        now_s = self._parts.book.now_s
        chosen = self._choose(state, by_machine, now_s)
        for machine in state.remaining:
            worker = by_machine.get(machine)
            if worker is not None:
                worker.cordoned = machine in chosen
        state.note_chosen(chosen, now_s)
        for machine in chosen:
            await self._maintain(state, machine, by_machine.get(machine))

    def _choose(
        self,
        state: _WaveState,
        by_machine: Mapping[str, workers.Worker],
        now_s: float,
    ) -> list[str]:
        """Return the machines to vacate, those with least work first."""
        urgent = state.urgent(
            now_s, self._parts.settings.maintenance_s + VACATE_S
        )
        # Once a round: it weighs every open job.
        lacking = frozenset() if urgent else self._parts.lacking()
        efforts_by_machine = {
            name: _effort(by_machine.get(name))
            for name in state.remaining
            if _dispensable(by_machine.get(name), lacking)
        }
        ordered = sorted(
            efforts_by_machine, key=lambda name: efforts_by_machine[name]
        )
        return ordered[: state.slots(now_s)]

    async def _maintain(
        self, state: _WaveState, machine: str, worker: workers.Worker | None
    ) -> None:
        now_s = self._parts.book.now_s
        if worker is not None:
            waited_s = now_s - state.chosen_s_by_machine[machine]
            if not self._vacated(worker, patient=waited_s < PATIENCE_S):
                return
        if not self._parts.leading():
            return
        begun = await self._parts.client.maintain(
            machine, state.wave.number, self._parts.term.token
        )
        log = self._parts.book.parts.log
        outcome = 'begun'
        if isinstance(begun, result.Failure):
            outcome = begun.failure().line()
        log.note(
            'maintenance',
            machine=machine,
            wave=state.wave.number,
            outcome=outcome,
        )
        self._note_down(state, machine, begun)
        if worker is not None and not isinstance(begun, result.Failure):
            worker.listed = False

    def _note_down(
        self,
        state: _WaveState,
        machine: str,
        begun: result.Result[None, reports.MachineFailure],
    ) -> None:
        up_s = self._parts.book.now_s + self._parts.settings.maintenance_s
        if not isinstance(begun, result.Failure):
            state.begun.add(machine)
            state.up_s_by_machine[machine] = up_s + SLACK_S
        elif not begun.failure().refused:
            # It may have begun all the same, or may do so soon.
            state.up_s_by_machine[machine] = up_s + UNANSWERED_SLACK_S

    def _vacated(self, worker: workers.Worker, patient: bool) -> bool:
        """Whether nothing runs on a worker; asks lasting tasks to move."""
        for run in tuple(worker.runs_by_task.values()):
            lasting = run.task.step.lasting
            leaves = may_leave(run.task) if lasting else not patient
            if leaves and run.phase is runs.RunPhase.RUNNING:
                self._parts.orders.stop(worker, run.name)
        return not worker.runs_by_task

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


def _dispensable(
    worker: workers.Worker | None, lacking: frozenset[str]
) -> bool:
    if worker is None or worker.cordoned or not worker.runs_by_task:
        return True
    return worker.entry.service not in lacking


def _effort(worker: workers.Worker | None) -> tuple[int, int]:
    """Order machines: those without runs first, then the already cordoned."""
    if worker is None or not worker.runs_by_task:
        return (0, 0)
    return (1 if worker.cordoned else 2, len(worker.runs_by_task))
