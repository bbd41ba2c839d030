"""What a new leader knows about a wave that it takes over.  Time is virtual."""

import asyncio
from unittest import mock

import scheduler_bench as benches
import test_scheduler_departure as departures
import test_scheduler_fuzz as simulations
import test_scheduler_wave_records as wave_tests

from jackdawlatch.scheduler import leader as leaders
from jackdawlatch.scheduler import pools, waves
from jackdawlatch.testing import functions

WORKER_COUNT = len(simulations.NAMES)
WAVE = waves.Wave(1, wave_tests.WAVE.machines, duration_s=30, max_count=1)
# Shorter than the time until the wave has to begin, to end in time.
HELD_BACK_S = 8.0
HANDOVERS = 3


async def test_undersupplied_service_is_vacated_on_takeover():
    def scenario(simulation: simulations.Simulation) -> None:
        led = _recorded(simulation.bench)
        departures._hand_over(simulation)
        departures._submit(simulation, count=WORKER_COUNT + 1, max_per_worker=1)
        simulation.run(HELD_BACK_S)
        led[-1].waves.add(WAVE)
        simulation.run(HELD_BACK_S / 2)
        assert not simulation.bench.machines.requested
        wave_tests._begin_wave(simulation, WAVE)
        simulation.run(HELD_BACK_S / 2)
        assert not simulation.bench.machines.requested

    await asyncio.to_thread(departures._play, scenario)


async def test_deadline_of_a_wave_begins_with_each_leader():
    def scenario(simulation: simulations.Simulation) -> None:
        departures._submit(simulation, count=WORKER_COUNT, max_per_worker=1)
        with mock.patch.object(
            pools.Pools, 'undersupplied', return_value=frozenset(('photo',))
        ):
            wave_tests._begin_wave(simulation, WAVE)
            for _ in range(HANDOVERS):
                simulation.run(HELD_BACK_S)
                departures._hand_over(simulation)
            simulation.run(WAVE.duration_s - HANDOVERS * HELD_BACK_S)
        assert len(simulation.bench.machines.requested) == WORKER_COUNT

    await asyncio.to_thread(departures._play, scenario)


def _recorded(bench: benches.Bench) -> list[leaders.Leader]:
    """Return the list to which each next leader is added."""
    led: list[leaders.Leader] = []
    create = bench.leader

    def recorded(*collaborators: object) -> leaders.Leader:
        led.append(create(*collaborators))  # type: ignore[arg-type]
        return led[-1]

    bench.leader = recorded  # type: ignore[assignment, method-assign]
    return led


load_tests = functions.loader(__name__)
