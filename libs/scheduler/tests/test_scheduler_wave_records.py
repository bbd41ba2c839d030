"""Maintenance waves beside changes of the leader.  Time is virtual."""

import asyncio
from unittest import mock

import scheduler_bench as benches
import test_scheduler_departure as departures
import test_scheduler_departure_faults as faults
import test_scheduler_fuzz as simulations
import test_scheduler_waves as wave_tests
from returns import result

from jackdawlatch.jobs import stored
from jackdawlatch.model import records
from jackdawlatch.scheduler import wave_records, wave_states, waves
from jackdawlatch.store import keyvalue, transactions
from jackdawlatch.testing import functions

MAINTENANCE_S = 2.5
# How long a machine may be down after a request without answer.
DOWN_S = MAINTENANCE_S + wave_states.UNANSWERED_SLACK_S
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


async def test_unanswered_request_counts_as_down():
    """The platform may carry it out late."""

    def scenario(simulation: simulations.Simulation) -> None:
        simulation.bench.machines.opened.clear()
        _begin_wave(simulation)
        simulation.run(SETTLED_S)
        departures._hand_over(simulation)
        simulation.run(DOWN_S - 0.1)
        assert len(simulation.bench.machines.requested) == 1

    await asyncio.to_thread(departures._play, scenario)


async def test_unanswered_request_is_repeated():
    """It may have been lost, so the wave is not done without an answer."""

    def scenario(simulation: simulations.Simulation) -> None:
        simulation.bench.machines.opened.clear()
        _begin_wave(simulation)
        simulation.run(SETTLED_S)
        departures._hand_over(simulation)
        simulation.run(DOWN_S)
        assert not _is_reported_done(simulation)
        simulation.bench.machines.opened.set()
        simulation.run(WAVE_S)
        requested = simulation.bench.machines.requested
        assert requested.count(requested[0]) == 2
        assert _is_reported_done(simulation)

    await asyncio.to_thread(departures._play, scenario)


async def test_repeated_request_counts_as_down():
    """The rest that is recorded for the first request has nearly ended."""

    def scenario(simulation: simulations.Simulation) -> None:
        simulation.bench.machines.opened.clear()
        _begin_wave(simulation)
        simulation.run(SETTLED_S)
        departures._hand_over(simulation)
        simulation.run(DOWN_S + SETTLED_S)
        assert len(simulation.bench.machines.requested) == 2
        departures._hand_over(simulation)
        simulation.run(DOWN_S - 0.1)
        assert len(simulation.bench.machines.requested) == 2

    await asyncio.to_thread(departures._play, scenario)


async def test_failed_request_counts_for_the_next_leader():
    def scenario(simulation: simulations.Simulation) -> None:
        machines = simulation.bench.machines
        failing = mock.patch.object(
            machines, 'maintain', return_value=wave_tests.UNANSWERED
        )
        with failing as maintain:
            _begin_wave(simulation)
            simulation.run(SETTLED_S)
            assert maintain.call_count == 1
        departures._hand_over(simulation)
        simulation.run(MAINTENANCE_S + SETTLED_S)
        assert not machines.requested
        simulation.run(wave_states.UNANSWERED_SLACK_S + WAVE_S)
        assert _is_reported_done(simulation)

    await asyncio.to_thread(departures._play, scenario)


async def test_down_machine_counts_for_the_next_leader():
    def scenario(simulation: simulations.Simulation) -> None:
        _begin_wave(simulation)
        simulation.run(SETTLED_S)
        assert len(simulation.bench.machines.maintained) == 1
        departures._hand_over(simulation)
        simulation.run(MAINTENANCE_S)
        assert len(simulation.bench.machines.maintained) == 1
        simulation.run(WAVE_S)
        assert len(simulation.bench.machines.requested) == len(WAVE.machines)

    await asyncio.to_thread(departures._play, scenario)


async def test_quick_handovers_hold_no_machine_for_ever():
    """Each leader counts the rest of a maintenance from when it reads it."""

    def scenario(simulation: simulations.Simulation) -> None:
        _begin_wave(simulation)
        for _ in range(round(2 * WAVE_S)):
            departures._hand_over(simulation)
            simulation.run(wave_records.REFRESH_PERIOD_S + 0.4)
        assert _is_reported_done(simulation)

    await asyncio.to_thread(departures._play, scenario)


async def test_request_is_not_sent_before_it_is_recorded():
    def scenario(simulation: simulations.Simulation) -> None:
        commit = simulation.bench.store.commit

        async def fail_for_record(
            transaction: transactions.Transaction,
        ) -> object:
            if RECORD_KEY in {put.key for put in transaction.puts}:
                return result.Failure(keyvalue.Unavailable(message='down'))
            return await commit(transaction)

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


async def test_leader_without_records_is_waited_for():
    """A leader of an earlier release reports only the status."""

    def scenario(simulation: simulations.Simulation) -> None:
        _begin_wave(simulation)
        simulation.run(SETTLED_S)
        _put_status(simulation, done=False)
        simulation.bench.machines.requested.clear()
        departures._hand_over(simulation)
        simulation.run(wave_records.HANDOVER_S - 0.1)
        assert not simulation.bench.machines.requested
        simulation.run(WAVE_S)
        assert _is_reported_done(simulation)

    await asyncio.to_thread(departures._play, scenario)


async def test_wave_done_without_records_stops_no_task():
    def scenario(simulation: simulations.Simulation) -> None:
        _put_status(simulation, done=True)
        _begin_wave(simulation)
        simulation.run(WAVE_S)
        assert not simulation.bench.machines.requested

    await asyncio.to_thread(departures._play, scenario)


async def test_machine_added_to_a_done_wave_is_maintained():
    def scenario(simulation: simulations.Simulation) -> None:
        part = waves.Wave(WAVE.number, WAVE.machines[:1], 60, max_count=1)
        leader = simulation.bench.leader
        _begin_wave(simulation, part)
        simulation.run(WAVE_S)
        assert _is_reported_done(simulation)
        simulation.bench.leader = leader
        _begin_wave(simulation)
        simulation.run(SETTLED_S)
        assert not _is_reported_done(simulation)
        simulation.run(WAVE_S)
        assert simulation.bench.machines.requested == list(WAVE.machines)
        assert _is_reported_done(simulation)

    await asyncio.to_thread(departures._play, scenario)


async def test_malformed_record_does_not_stop_a_wave():
    def scenario(simulation: simulations.Simulation) -> None:
        simulation.bench.store.content.commit(
            transactions.Transaction(
                puts=(transactions.Put(key=RECORD_KEY, content=b'?'),)
            )
        )
        _begin_wave(simulation)
        simulation.run(wave_records.HANDOVER_S + WAVE_S)
        assert _is_reported_done(simulation)

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
