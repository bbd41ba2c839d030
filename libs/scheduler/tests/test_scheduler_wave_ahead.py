"""Machines that a wave vacates ahead of a place.  Time is virtual."""

import asyncio

import scheduler_bench as benches
import test_scheduler_departure as departures
import test_scheduler_fuzz as simulations
import test_scheduler_wave_records as wave_tests

from jackdawlatch.scheduler import waves
from jackdawlatch.testing import functions

NAMES = tuple(f'w{number}' for number in range(1, 25))
# A ready task may wait for 3 s, after 4 s without a disturbance.
ALLOWED_WAIT_S = 7.0
VACATING_S = 8.0
WIDE_JOB = 'wide'
# One machine is down, and one is vacated ahead of the next place.
CLOSED = 2


async def test_vacated_machines_stay_closed_without_a_place():
    def scenario(simulation: simulations.Simulation) -> None:
        for added in NAMES[len(simulations.NAMES) :]:
            simulation.bench.add_worker(added)
        departures._submit(simulation, count=len(NAMES) // 2, max_per_worker=1)
        machines = tuple(
            worker.entry.machine
            for worker in simulation.workers.by_id.values()
            if worker.running
        )
        wave_tests._begin_wave(simulation, waves.Wave(1, machines, 120, 1))
        simulation.run(VACATING_S)
        wide = benches.job(
            WIDE_JOB, count=len(NAMES), lasting=True, max_per_worker=1
        )
        simulation.oracle.jobs_by_id[wide.id] = wide
        simulation.bench.submit(wide)
        simulation.run(ALLOWED_WAIT_S)
        running = [
            task
            for worker in simulation.workers.by_id.values()
            for task in worker.running
            if task.job == WIDE_JOB
        ]
        assert len(running) >= len(NAMES) - CLOSED

    await asyncio.to_thread(departures._play, scenario)


load_tests = functions.loader(__name__)
