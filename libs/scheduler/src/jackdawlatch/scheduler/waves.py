"""Carries out maintenance waves within their disruption budgets."""

import asyncio
import dataclasses
from collections.abc import Callable, Iterable, Mapping, Sequence

from returns import result

from jackdawlatch.model import records
from jackdawlatch.policy import wave_order
from jackdawlatch.scheduler import (
    clients,
    cluster_state,
    dispatch,
    machine_workers,
    persistence,
    reports,
    runs,
    tasks,
    workers,
)
from jackdawlatch.store import transactions

PERIOD_S = 0.2
# Machines that the previous leader took down are up again by then.
HANDOVER_S = 3.0
# The answer to a maintenance request comes after the machine went down.
ANSWER_SLACK_S = 0.3
# How much later an unanswered maintenance request may still be carried out.
UNANSWERED_SLACK_S = 3.0
# Short tasks end by themselves within about this time.
VACATE_S = 2.5
# The remaining tasks are stopped after this time, since some never end.
STOP_TASKS_AFTER_S = 3.0


@dataclasses.dataclass(frozen=True)
class Wave:
    """Machines due for maintenance, at most ``max_count`` down at once."""

    number: int
    machines: tuple[str, ...]
    duration_s: float
    max_count: int


class WaveStatus(records.Record, frozen=True, kw_only=True):
    """The status of a wave, as reported to operators."""

    number: int
    done: bool


@dataclasses.dataclass(frozen=True)
class Settings:
    """How long maintenance of a machine takes, and how status is written."""

    maintenance_s: float
    status: Callable[[WaveStatus], transactions.Put]


@dataclasses.dataclass(frozen=True)
class Dependencies:
    """Collaborators of the waves.

    ``undersupplied`` returns the services that could use more machines.
    """

    cluster: cluster_state.ClusterState
    dispatcher: dispatch.Dispatcher
    client: clients.MachineClient
    store: transactions.TransactionalStore
    term: persistence.Term
    leading: Callable[[], bool]
    undersupplied: Callable[[], frozenset[str]]
    settings: Settings


class _WaveState:
    """The progress of a wave."""

    def __init__(self, wave: Wave, now_s: float) -> None:
        self.wave = wave
        self.ends_s = now_s + wave.duration_s
        self.begun: set[str] = set()
        self.up_s_by_machine: dict[str, float] = {}
        self.chosen_s_by_machine: dict[str, float] = {}
        self.reported_done: bool | None = None

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

    def record_chosen(self, chosen: Iterable[str], now_s: float) -> None:
        """Record since when each chosen machine is being vacated."""
        self.chosen_s_by_machine = {
            machine: self.chosen_s_by_machine.get(machine, now_s)
            for machine in chosen
        }

    def urgent(self, now_s: float, round_s: float) -> bool:
        """Whether the wave would miss its deadline by waiting for less load."""
        rounds = -(-len(self.remaining) // max(1, self.wave.max_count))
        return now_s + (rounds + 1) * round_s > self.ends_s


class Waves:
    """Carries out the requested waves."""

    def __init__(self, dependencies: Dependencies) -> None:
        self._dependencies = dependencies
        self._states_by_number: dict[int, _WaveState] = {}

    def add(self, wave: Wave) -> None:
        """Add a wave, unless it is known already."""
        if wave.number not in self._states_by_number:
            self._states_by_number[wave.number] = _WaveState(
                wave, self._dependencies.cluster.now_s
            )

    async def run(self) -> None:
        """Carry out waves until cancelled."""
        await asyncio.sleep(HANDOVER_S)
        while True:
            for state in tuple(self._states_by_number.values()):
                if self._dependencies.leading() and not state.reported_done:
                    await self._advance(state)
            await asyncio.sleep(PERIOD_S)

    async def _advance(self, state: _WaveState) -> None:
        if not state.remaining:
            await self._report(state, done=True)
            return
        if state.reported_done is None:
            await self._report(state, done=False)
        by_machine = machine_workers.by_machine(
            self._dependencies.cluster.workers_by_id.values()
        )
        now_s = self._dependencies.cluster.now_s
        chosen = self._choose(state, by_machine, now_s)
        for machine in state.remaining:
            for worker in by_machine.get(machine, ()):
                worker.cordoned = machine in chosen
        state.record_chosen(chosen, now_s)
        for machine in chosen:
            await self._maintain(state, machine, by_machine.get(machine, ()))

    def _choose(
        self,
        state: _WaveState,
        by_machine: Mapping[str, Sequence[workers.Worker]],
        now_s: float,
    ) -> list[str]:
        """Return the machines to vacate; more than may go down now."""
        urgent = state.urgent(
            now_s, self._dependencies.settings.maintenance_s + VACATE_S
        )
        # Computed once a round, since it goes through every open job.
        undersupplied = (
            frozenset() if urgent else self._dependencies.undersupplied()
        )
        due = [
            machine_workers.due_machine(name, by_machine.get(name, ()))
            for name in state.remaining
            if machine_workers.may_vacate(
                by_machine.get(name, ()), undersupplied
            )
        ]
        return wave_order.choose(due, state.slots(now_s), state.wave.max_count)

    async def _maintain(
        self,
        state: _WaveState,
        machine: str,
        held_by: Sequence[workers.Worker],
    ) -> None:
        now_s = self._dependencies.cluster.now_s
        waited_s = now_s - state.chosen_s_by_machine[machine]
        wait_for_short_tasks = waited_s < STOP_TASKS_AFTER_S
        vacated = [
            self._is_vacated(worker, wait_for_short_tasks) for worker in held_by
        ]
        if not all(vacated):
            return
        # Machines are vacated ahead of a free slot.
        if not self._dependencies.leading() or not state.slots(now_s):
            return
        begun = await self._dependencies.client.maintain(
            machine, state.wave.number, self._dependencies.term.token
        )
        log = self._dependencies.cluster.dependencies.log
        outcome = 'begun'
        if isinstance(begun, result.Failure):
            outcome = begun.failure().line()
        log.note(
            'maintenance',
            machine=machine,
            wave=state.wave.number,
            worker=','.join(worker.entry.id for worker in held_by),
            runs=sum(len(worker.runs_by_task) for worker in held_by),
            outcome=outcome,
        )
        self._record_down(state, machine, begun)
        if not isinstance(begun, result.Failure):
            for worker in held_by:
                worker.registered = False

    def _record_down(
        self,
        state: _WaveState,
        machine: str,
        begun: result.Result[None, reports.MachineFailure],
    ) -> None:
        up_s = (
            self._dependencies.cluster.now_s
            + self._dependencies.settings.maintenance_s
        )
        if not isinstance(begun, result.Failure):
            state.begun.add(machine)
            state.up_s_by_machine[machine] = up_s + ANSWER_SLACK_S
        elif not begun.failure().refused:
            # The maintenance may have begun all the same, or may begin soon.
            state.up_s_by_machine[machine] = up_s + UNANSWERED_SLACK_S

    def _is_vacated(
        self, worker: workers.Worker, wait_for_short_tasks: bool
    ) -> bool:
        """Return whether a worker has no runs; stop those that may be stopped."""
        for run in tuple(worker.runs_by_task.values()):
            lasting = run.task.step.lasting
            stoppable = (
                may_stop(run.task) if lasting else not wait_for_short_tasks
            )
            if stoppable and run.phase is runs.RunPhase.RUNNING:
                self._dependencies.dispatcher.stop(worker, run.run_id)
        return not worker.runs_by_task

    async def _report(self, state: _WaveState, done: bool) -> None:
        written = await self._dependencies.store.commit(
            transactions.Transaction(
                puts=(
                    self._dependencies.settings.status(
                        WaveStatus(number=state.wave.number, done=done)
                    ),
                )
            )
        )
        if not isinstance(written, result.Failure):
            state.reported_done = done


def may_stop(task: tasks.Task) -> bool:
    """Whether stopping a lasting task keeps ``max_unavailable`` of its step."""
    step = task.step
    if not step.max_unavailable:
        return True
    state = task.job.step_state(task.id.occurrence, task.id.step)
    others_unavailable = state.unavailable_count() - (not task.serving)
    return others_unavailable < step.max_unavailable
