"""Quotas and floods of teams, across leaders and lost workers; virtual time."""

import asyncio
import collections
import math
from collections.abc import Callable

import hypothesis
import scheduler_bench as benches
import scheduler_oracle as oracles
import scheduler_takeovers as takeovers
import test_scheduler_fuzz as simulations
from hypothesis import stateful  # noqa: WPS458 settings are no module.

from jackdawlatch.jobs import model, queues
from jackdawlatch.model import presets, records, teams
from jackdawlatch.scheduler import reports
from jackdawlatch.testing import functions

CORE_M = 1000
# The workers have twelve cores together.
CORES = 12
QUOTA_CORES = 4
SETTINGS = hypothesis.settings(simulations.SETTINGS, max_examples=50)
# Longer than a poll and a planning round.
ROUND_S = 1.0
# What a team under its quota may wait beside free capacity.
ALLOWED_WAIT_S = 3.0


def catalog(cores: float, version: int = 1) -> queues.Catalog:
    """Return a configuration with the teams ``a``, of a quota, and ``b``."""
    return queues.Catalog(
        version,
        (benches.QUEUE,),
        (queues.Service('photo'),),
        (
            teams.Team(
                name='a', weight=2, quota=presets.Quota(processors=cores)
            ),
            teams.Team(name='b', weight=2),
        ),
    )


def begin(simulation: simulations.Simulation) -> None:
    """Put the configuration in force, once no task without a team runs."""
    simulation.end_all()
    simulation.run(ROUND_S)
    simulation.end_all()
    simulation.bench.catalog = catalog(QUOTA_CORES)
    simulation.oracle.quota_m = QUOTA_CORES * CORE_M
    submit_as(simulation, 'a')
    takeovers.hand_over(simulation)
    simulation.run(ROUND_S)


def submit_as(simulation: simulations.Simulation, team: str) -> None:
    """Let all jobs that are submitted from now on belong to a team."""
    bench = simulation.bench

    def submit(job: model.Job) -> None:
        accepted_s = bench.clock.wall_s()
        stamped = records.replace(job, team=team, accepted_s=accepted_s)
        benches.Bench.submit(bench, stamped)

    bench.submit = submit


class QuotaMachine(simulations.RacingMachine):
    """All jobs are of one team, which may hold a third of the fleet."""

    def __init__(self) -> None:
        super().__init__()
        begin(self.simulation)


async def test_no_run_is_forgotten_or_counted_twice():
    """Guards against runs beyond a quota, and jobs that wait for ever."""
    await asyncio.to_thread(
        stateful.run_state_machine_as_test, QuotaMachine, settings=SETTINGS
    )


def play(scenario: Callable[[simulations.Simulation], None]) -> None:
    """Run a scenario in which team ``a`` may hold four cores."""
    created = simulations.Simulation()
    try:
        begin(created)
        scenario(created)
        assert not created.workers.violations, created.workers.violations[0]
    finally:
        created.close()


def running(simulation: simulations.Simulation) -> collections.Counter[str]:
    """Return how many tasks of each job run."""
    return collections.Counter(
        task.job
        for worker in simulation.workers.by_id.values()
        for task in worker.running
    )


async def test_quota_holds_through_takeovers():
    def scenario(simulation: simulations.Simulation) -> None:
        takeovers.submit(simulation, benches.job('flood', count=30))
        for _ in range(4):
            simulation.run(ROUND_S)
            assert running(simulation)['flood'] == QUOTA_CORES
            takeovers.kill_leader(simulation)
            for worker in simulation.workers.by_id.values():
                for task in tuple(worker.running)[:1]:
                    worker.end(task, reports.EndKind.DONE)
            simulation.term = simulation.begin_term()

    await asyncio.to_thread(play, scenario)


async def test_quota_that_drops_below_what_runs():
    def scenario(simulation: simulations.Simulation) -> None:
        takeovers.submit(simulation, benches.job('flood', count=30))
        simulation.run(ROUND_S)
        simulation.bench.catalog = catalog(1, version=2)
        simulation.term.leader.cluster.replace_catalog(catalog(1, version=2))
        for leaders in range(2):
            simulation.run(ROUND_S)
            assert running(simulation)['flood'] == QUOTA_CORES - leaders
            busy = next(
                one for one in simulation.workers.alive() if one.running
            )
            busy.end(next(iter(busy.running)), reports.EndKind.DONE)
            takeovers.hand_over(simulation)
        simulation.end_all()
        simulation.run(ROUND_S)
        assert running(simulation)['flood'] == 1

    await asyncio.to_thread(play, scenario)


async def test_unknown_starts_are_counted():
    """A start that may run later on holds capacity of the quota."""

    def scenario(simulation: simulations.Simulation) -> None:
        for name in simulations.NAMES:
            simulation.workers.delay(name, oracles.Call.START, math.inf)
        takeovers.submit(simulation, benches.job('flood', count=30))
        for worker in simulation.workers.by_id.values():
            worker.down = True
        simulation.run(ROUND_S)
        # The starts were not answered; nothing is started beside them.
        cluster = simulation.term.leader.cluster
        account = cluster.jobs_by_id['flood'].claim.account
        assert account.held.processors_m == QUOTA_CORES * CORE_M
        takeovers.hand_over(simulation)
        simulation.run(ROUND_S)
        for cut in simulation.workers.by_id.values():
            cut.down = False
        simulation.run(ALLOWED_WAIT_S)
        assert running(simulation)['flood'] == QUOTA_CORES

    await asyncio.to_thread(play, scenario)


async def test_flood_does_not_delay_another_team():
    """Guards against a flood that others wait for, also at a new leader."""

    def scenario(simulation: simulations.Simulation) -> None:
        simulation.oracle.quota_m = math.inf
        simulation.bench.catalog = catalog(1000)
        takeovers.hand_over(simulation)
        simulation.run(ROUND_S)
        for number in range(40):
            takeovers.submit(simulation, benches.job(f'flood{number}', count=2))
        simulation.run(ROUND_S)
        submit_as(simulation, 'b')
        takeovers.submit(simulation, benches.job('other', count=4))
        # The flood takes what is free, and the other team what is freed next.
        assert sum(running(simulation).values()) == CORES
        takeovers.hand_over(simulation)
        simulation.run(ROUND_S)
        simulation.end_all()
        simulation.run(ROUND_S)
        assert running(simulation)['other'] == 4

    await asyncio.to_thread(play, scenario)


load_tests = functions.loader(__name__, {})
