"""Carries out maintenance waves within their disruption budgets."""

import asyncio
import dataclasses
import functools
from collections.abc import Callable, Mapping, Sequence

from returns import result

from jackdawlatch.model import records
from jackdawlatch.policy import wave_order
from jackdawlatch.scheduler import (
    clients,
    cluster_state,
    dispatch,
    machine_workers,
    persistence,
    runs,
    wave_records,
    wave_states,
    workers,
)
from jackdawlatch.store import transactions

PERIOD_S = 0.2
# Short tasks end by themselves within about this time.
VACATE_S = 2.5
# The remaining tasks are stopped after this time, since some never end.
STOP_TASKS_AFTER_S = 3.0
# A machine that cannot be vacated is left to the tasks for this time, since
# what waits for a worker may be what keeps its other tasks from being stopped.
HELD_UP_REST_S = 5.0
# A machine that is in transit cannot go down.
REFUSED_REST_S = 0.6


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

    ``undersupplied`` returns the services that could use more machines, and
    ``lacking`` those whose lasting tasks wait for one.  ``deposed`` is set when
    a write shows that the term has ended.
    """

    cluster: cluster_state.ClusterState
    dispatcher: dispatch.Dispatcher
    client: clients.MachineClient
    store: transactions.TransactionalStore
    term: persistence.Term
    leading: Callable[[], bool]
    deposed: asyncio.Event
    undersupplied: Callable[[], frozenset[str]]
    lacking: Callable[[], frozenset[str]]
    settings: Settings


class Waves:
    """Carries out the requested waves."""

    def __init__(self, dependencies: Dependencies) -> None:
        self._dependencies = dependencies
        self._records_by_number: dict[int, wave_records.WaveRecord] = {}
        self._down_until_s_by_worker: dict[workers.Worker, float] = {}

    def add(self, wave: Wave) -> None:
        """Add a wave, or change it."""
        known = self._records_by_number.get(wave.number)
        if known is None:
            self._records_by_number[wave.number] = self._new_record(wave)
            return
        for machine in known.state.change(wave):
            for worker in _workers_on(self._dependencies.cluster, machine):
                self.cordon(worker)

    def cordon(self, worker: workers.Worker) -> None:
        """Place no tasks on a worker whose machine is about to go down."""
        was_cordoned = workers.Cordon.MAINTENANCE in worker.cordons
        worker.cordons.discard(workers.Cordon.MAINTENANCE)
        due = any(
            worker.entry.machine in record.state.cordoned
            for record in self._records_by_number.values()
        )
        if due or worker in self._down_until_s_by_worker:
            worker.cordons.add(workers.Cordon.MAINTENANCE)
        elif was_cordoned:
            self._dependencies.cluster.on_change()

    async def run(self) -> None:
        """Carry out waves until cancelled."""
        while True:
            self._reopen()
            for record in tuple(self._records_by_number.values()):
                done = record.state.reported_done
                if self._dependencies.leading() and not done:
                    await self._advance(record)
            await asyncio.sleep(PERIOD_S)

    def _new_record(self, wave: Wave) -> wave_records.WaveRecord:
        return wave_records.WaveRecord(
            wave_records.Dependencies(
                self._dependencies.cluster,
                self._dependencies.store,
                self._dependencies.term,
                self._dependencies.deposed,
                self._dependencies.settings.maintenance_s,
                functools.partial(
                    _status, self._dependencies.settings, wave.number
                ),
            ),
            wave_states.WaveState(wave, self._dependencies.cluster.now_s),
        )

    def _reopen(self) -> None:
        """Open workers whose machine had its maintenance before the request."""
        now_s = self._dependencies.cluster.now_s
        for worker, until_s in tuple(self._down_until_s_by_worker.items()):
            if until_s <= now_s:
                self._down_until_s_by_worker.pop(worker)
                self.cordon(worker)

    async def _advance(self, record: wave_records.WaveRecord) -> None:
        if not await record.is_loaded():
            return
        state = record.state
        machines = self._vacate(state)[
            : state.slots(self._dependencies.cluster.now_s)
        ]
        if not await record.write(machines):
            return
        for place, machine in enumerate(machines, start=1):
            await self._order(state, machine)
            if record.is_due():
                await record.write(machines[place:])
        if machines:
            await record.write()

    def _vacate(self, state: wave_states.WaveState) -> list[str]:
        """Stop tasks on the machines to maintain; return the vacated ones."""
        by_machine = machine_workers.by_machine(
            self._dependencies.cluster.workers_by_id.values()
        )
        now_s = self._dependencies.cluster.now_s
        _rest_held_up(state, by_machine, self._dependencies.lacking(), now_s)
        chosen = self._choose(state, by_machine, now_s)
        state.cordoned = frozenset((*chosen, *state.unanswered(now_s)))
        for machine in state.remaining:
            for worker in by_machine.get(machine, ()):
                self.cordon(worker)
        state.record_chosen(chosen, now_s)
        return [
            name
            for name in chosen
            if self._are_vacated(
                by_machine.get(name, ()),
                now_s - state.chosen_s_by_machine[name],
            )
        ]

    def _choose(
        self,
        state: wave_states.WaveState,
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
            machine_workers.due_machine(
                name, by_machine.get(name, ()), name in state.refused
            )
            for name in state.due(now_s)
            if machine_workers.may_vacate(
                by_machine.get(name, ()), undersupplied
            )
        ]
        return wave_order.choose(due, state.slots(now_s), state.wave.max_count)

    def _are_vacated(
        self, held_by: Sequence[workers.Worker], waited_s: float
    ) -> bool:
        wait_for_short_tasks = waited_s < STOP_TASKS_AFTER_S
        vacated = [
            self._is_vacated(worker, wait_for_short_tasks) for worker in held_by
        ]
        return all(vacated)

    async def _order(self, state: wave_states.WaveState, machine: str) -> None:
        # A worker may have registered during the requests before this one.
        held_by = _workers_on(self._dependencies.cluster, machine)
        occupied = any(worker.runs_by_task for worker in held_by)
        if occupied or not self._dependencies.leading():
            return
        begun = await self._dependencies.client.maintain(
            machine, state.wave.number, self._dependencies.term.token
        )
        log = self._dependencies.cluster.dependencies.log
        outcome = 'begun'
        if isinstance(begun, result.Failure):
            outcome = begun.failure().line()
            state.rest(
                machine, self._dependencies.cluster.now_s + REFUSED_REST_S
            )
        log.note(
            'maintenance',
            machine=machine,
            wave=state.wave.number,
            worker=','.join(worker.entry.id for worker in held_by),
            runs=sum(len(worker.runs_by_task) for worker in held_by),
            outcome=outcome,
        )
        state.record_outcome(
            machine,
            begun,
            self._dependencies.cluster.now_s
            + self._dependencies.settings.maintenance_s,
        )
        if not isinstance(begun, result.Failure):
            # Nothing goes down if the maintenance was done before.
            for old in held_by:
                self._down_until_s_by_worker[old] = state.up_s_by_machine[
                    machine
                ]
            for worker in _workers_on(self._dependencies.cluster, machine):
                self.cordon(worker)

    def _is_vacated(
        self, worker: workers.Worker, wait_for_short_tasks: bool
    ) -> bool:
        """Return whether a worker has no runs; stop those that may be stopped."""
        late_starts = self._dependencies.cluster.dependencies.late_starts
        for run in tuple(worker.runs_by_task.values()):
            lasting = run.task.step.lasting
            # A task that is bound to its worker could not start elsewhere.
            stoppable = (
                machine_workers.may_stop(run.task)
                and not late_starts.of(run.task.id)
                if lasting
                else not wait_for_short_tasks
            )
            if stoppable and run.phase is runs.RunPhase.RUNNING:
                if lasting:
                    self._dependencies.cluster.note('vacated', run, 'wave')
                self._dependencies.dispatcher.stop(worker, run.run_id)
        return not worker.runs_by_task


def _workers_on(
    cluster: cluster_state.ClusterState, machine: str
) -> list[workers.Worker]:
    return machine_workers.on_machine(machine, cluster.workers_by_id.values())


def _status(settings: Settings, number: int, done: bool) -> transactions.Put:
    return settings.status(WaveStatus(number=number, done=done))


def _rest_held_up(
    state: wave_states.WaveState,
    by_machine: Mapping[str, Sequence[workers.Worker]],
    lacking: frozenset[str],
    now_s: float,
) -> None:
    """Open machines that tasks wait for, and that have not gone down for long."""
    for name in state.due(now_s):
        needed = any(
            worker.entry.service in lacking
            for worker in by_machine.get(name, ())
        )
        if needed and state.chosen_since(name, now_s - STOP_TASKS_AFTER_S):
            state.rest(name, now_s + HELD_UP_REST_S)
