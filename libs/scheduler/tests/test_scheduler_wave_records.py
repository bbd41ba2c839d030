"""Maintenance waves beside changes of the leader.  Time is virtual."""

import asyncio

import scheduler_bench as benches
import test_scheduler_departure as departures
import test_scheduler_departure_faults as faults
import test_scheduler_fuzz as simulations

from jackdawlatch.jobs import stored
from jackdawlatch.model import records
from jackdawlatch.scheduler import wave_records, waves
from jackdawlatch.store import transactions
from jackdawlatch.testing import functions

MAINTENANCE_S = 2.5
# A few rounds of the waves.
SETTLED_S = 1.0
WAVE = waves.Wave(1, faults.MACHINES, duration_s=60, max_count=1)
# The whole wave, with a round and an answer for each machine.
WAVE_S = len(WAVE.machines) * (MAINTENANCE_S + SETTLED_S)
RECORD_KEY = f'{stored.WAVES_PREFIX}{WAVE.number}'
STATUS_KEY = f'status/{WAVE.number}'


async def test_done_wave_stops_no_task_of_the_next_leader():
    def scenario(simulation: simulations.Simulation) -> None:
        _begin_wave(simulation)
        simulation.run(WAVE_S)
        assert _is_reported_done(simulation)
        departures._submit(simulation, count=1)
        departures._hand_over(simulation)
        simulation.run(WAVE_S)
        assert len(simulation.bench.machines.requested) == len(WAVE.machines)
        assert _start_count(simulation) == 1
        assert _is_reported_done(simulation)

    await asyncio.to_thread(departures._play, scenario)


async def test_request_is_not_sent_before_it_is_recorded():
    def scenario(simulation: simulations.Simulation) -> None:
        commit = simulation.bench.store.commit

        async def fail_for_record(
            transaction: transactions.Transaction,
        ) -> object:
            keys = {put.key for put in transaction.puts}
            simulation.bench.store.down = RECORD_KEY in keys
            try:
                return await commit(transaction)
            finally:
                simulation.bench.store.down = False

        simulation.bench.store.commit = fail_for_record
        _begin_wave(simulation)
        simulation.run(wave_records.HANDOVER_S + SETTLED_S)
        assert not simulation.bench.machines.requested
        simulation.bench.store.commit = commit
        simulation.run(WAVE_S)
        assert _is_reported_done(simulation)

    await asyncio.to_thread(departures._play, scenario)


async def test_record_written_without_answer_is_replaced():
    def scenario(simulation: simulations.Simulation) -> None:
        simulation.bench.store.lose_replies = 3
        _begin_wave(simulation)
        simulation.run(WAVE_S + SETTLED_S)
        assert _is_reported_done(simulation)
        assert len(simulation.bench.machines.requested) == len(WAVE.machines)

    await asyncio.to_thread(departures._play, scenario)


async def test_wave_done_without_records_stops_no_task():
    def scenario(simulation: simulations.Simulation) -> None:
        _put_status(simulation, done=True)
        _begin_wave(simulation)
        simulation.run(WAVE_S)
        assert not simulation.bench.machines.requested

    await asyncio.to_thread(departures._play, scenario)


def _begin_wave(
    simulation: simulations.Simulation, wave: waves.Wave = WAVE
) -> None:
    """Have the next leaders carry out a wave."""
    simulation.bench.maintenance_s = MAINTENANCE_S
    faults._add_to_each_leader(simulation.bench, wave)
    departures._hand_over(simulation)


def _put_status(simulation: simulations.Simulation, done: bool) -> None:
    simulation.bench.store.content.commit(
        transactions.Transaction(
            puts=(
                benches._status(
                    waves.WaveStatus(number=WAVE.number, done=done)
                ),
            )
        )
    )


def _is_reported_done(simulation: simulations.Simulation) -> bool:
    entry = simulation.bench.store.content.get(STATUS_KEY)
    return records.decode(entry.value, waves.WaveStatus).done


def _start_count(simulation: simulations.Simulation) -> int:
    return sum(
        run.task.job == departures.JOB
        for one in simulation.workers.by_id.values()
        for run in one.started_runs
    )


load_tests = functions.loader(__name__)
