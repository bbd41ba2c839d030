"""A store with the ended jobs that heavy traffic leaves; time is virtual."""

import asyncio
import contextlib
from collections.abc import Callable, Iterator

import scheduler_bench as benches
import scheduler_takeovers as takeovers
import test_scheduler_fuzz as simulations

from jackdawlatch.jobs import stored
from jackdawlatch.model import records
from jackdawlatch.testing import functions

# The busiest documented site has 38.8 jobs a second.
JOBS_PER_S = 39
SECONDS = 5
# Jobs are kept for a minute here.
LONG_AGO_S = -100.0


async def test_ended_jobs_pile_up():
    """Guards against fewer removals than a site accepts jobs."""

    def scenario(simulation: simulations.Simulation) -> None:
        takeovers.hand_over(simulation)
        simulation.run(SECONDS + takeovers.PROMPT_S)
        scanned = simulation.bench.store.content.scan(stored.JOBS_PREFIX)
        left = [one.key for one in scanned.entries if 'old-' in one.key]
        assert not left, f'{len(left)} jobs are left'

    await asyncio.to_thread(_play, scenario)


async def test_jobs_are_loaded_in_one_turn():
    """Guards against a lease that lapses while the jobs are loaded."""

    def scenario(simulation: simulations.Simulation) -> None:
        takeovers.hand_over(simulation)
        jobs = simulation.term.leader.cluster.jobs_by_id
        counts = [0]

        async def count_each_turn() -> None:
            while len(jobs) < SECONDS * JOBS_PER_S:
                await asyncio.sleep(0)
                counts.append(len(jobs))

        simulation.loop.run_until_complete(count_each_turn())
        steps = [
            after - before
            for before, after in zip(counts, counts[1:], strict=False)
        ]
        assert max(steps) <= 100

    await asyncio.to_thread(_play, scenario)


def _play(scenario: Callable[[simulations.Simulation], None]) -> None:
    with _simulation() as simulation:
        scenario(simulation)


@contextlib.contextmanager
def _simulation() -> Iterator[simulations.Simulation]:
    """Yield a deployment whose next leader finds many ended jobs."""
    created = simulations.Simulation()
    done = records.pack(
        stored.Progress(phase=stored.JobPhase.DONE, ended_s=LONG_AGO_S)
    )
    for number in range(SECONDS * JOBS_PER_S):
        name = f'old-{number}'
        created.bench.submit(benches.job(name))
        created.bench.put(f'{stored.PROGRESS_PREFIX}{name}', done)
    try:
        yield created
    finally:
        created.close()


load_tests = functions.loader(__name__)
