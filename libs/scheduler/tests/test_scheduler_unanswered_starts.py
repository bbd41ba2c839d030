"""Starts without an answer, on workers that are lost.

The load is a boot that nothing has shown, which carries out a start and is cut
off; its lease is the longest one.
"""

import asyncio

import scheduler_fleets as fleets
import scheduler_takeovers as takeovers
import test_scheduler_fuzz as simulations
import test_scheduler_reborn as reborn

from jackdawlatch.jobs import start_rests, stored
from jackdawlatch.model import clocks, records
from jackdawlatch.scheduler import observers, reports, runs, workers
from jackdawlatch.store import keyvalue
from jackdawlatch.testing import functions

SHORT_S = 1.0
HANDOVER_PERIOD_S = 2.0


def test_other_runs_wait_for_an_unanswered_start(fleet):
    """Guards against a slow restart of all tasks of a lost worker."""
    worker = fleet.boot('w1')
    run = fleet.cluster.assign(
        fleet.add_job('a'), worker, 1, runs.RunPhase.RUNNING
    )
    unanswered = _lose_start(fleet, worker)
    fleet.clock.advance(SHORT_S + 0.5)
    fleet.registry.release_expired_runs(worker)
    assert not run.task.run
    assert unanswered.task.run is unanswered
    fleet.clock.advance(fleets.LONGEST_LEASE_S)
    fleet.registry.release_expired_runs(worker)
    assert not unanswered.task.run


def test_run_that_was_found_is_kept_for_long(fleet):
    """An answer shows which boot has it, so that the leases of that one count."""
    worker = fleet.boot('w1')
    run = _lose_start(fleet, worker)
    status = reports.WorkerStatus(
        clock_s=0,
        born_ms=worker.entry.born_ms,
        running=(reports.RunReport(run.run_id, '', 0),),
        ended=(),
    )
    fleet.reconciler.reconcile(worker, status, fleet.clock.monotonic_s())
    assert worker.lease.run_end_s(run) == worker.lease.end_s


async def test_handovers_delay_the_restart():
    """Guards against leaders that each wait for the longest lease."""

    def scenario(simulation: simulations.Simulation) -> None:
        simulation.workers.by_id[reborn.NAME].down = True
        reborn._start(simulation)
        for _ in range(int(reborn.LONG_S / HANDOVER_PERIOD_S)):
            simulation.run(HANDOVER_PERIOD_S)
            takeovers.hand_over(simulation)
        assert any(
            reborn.TASK in worker.running
            for worker in simulation.workers.alive()
        )

    await asyncio.to_thread(reborn._play, scenario, reborn.LONGEST_LEASE)


def test_recorded_start_counts_anew_with_each_record():
    clock = clocks.ManualClock()
    sightings = observers.LeaseSightings(clock)
    for left_s in (SHORT_S, SHORT_S - 0.2):
        sightings.observe(_entry(left_s))
        clock.advance(0.5)
    assert tuple(sightings.start_ends_s.values()) == (SHORT_S,)


def _entry(left_s: float) -> keyvalue.Entry:
    start = start_rests.StartRest('a', 0, 0, 0, 1, left_s)
    leases = stored.Leases(starts=(start,))
    return keyvalue.Entry(
        key=stored.LEASES_KEY, value=records.encode(leases), revision=1
    )


def _lose_start(fleet: fleets.Fleet, worker: workers.Worker) -> runs.Run:
    """Let a start get no answer from a worker with a short lease."""
    now_s = fleet.clock.monotonic_s()
    worker.lease.extend(SHORT_S, now_s)
    run = fleet.cluster.assign(
        fleet.add_job('b'), worker, 1, runs.RunPhase.UNSETTLED
    )
    worker.lease.expect_unknown_boot(run, fleets.LONGEST_LEASE_S, now_s)
    fleet.lose(worker)
    return run


load_tests = functions.loader(__name__, {'fleet': fleets.fleet})
