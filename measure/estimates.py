"""Placement with wrong size estimates, a failing worker, cancellations."""

import asyncio
import random
import time
from collections.abc import Iterator

from jackdawlatch.model import work
from jackdawlatch.placement import drafts
from measure import base, placement, workplace

JOBS = 600
RUN_S = 30.0
LIMIT_S = 1200
CHECK_S = 5
CANCELLED_JOBS = 2000
DECLARED_PROCESSORS = 8
DECLARED_MEMORY_MB = 8000
MAX_PROCESSORS = 64
MAX_MEMORY_MB = 100_000


class BadEstimates(base.Benchmark):
    """Jobs whose declared sizes are off by up to ten times either way."""

    name = 'placement-estimates'

    def run(self, seed: int) -> Iterator[base.Table]:
        """Run the same jobs with each policy."""
        yield base.Table(
            title='Declared sizes off by up to ten times either way',
            note=(
                '600 jobs on 6 hosts, queued at once; true over declared is '
                '10^u, u uniform in -1..1. Work per second is the processor '
                'seconds done over what 6 hosts can do until the last job '
                'ended; over-use is the most that the tasks of one host '
                'wanted over what it has, as reported.'
            ),
            columns=(
                'policy',
                'done',
                'failed',
                'not ended',
                'seconds',
                'work per second',
                'over-use',
                'starts per job',
            ),
            rows=tuple(
                asyncio.run(_estimates(policy, seed))
                for policy in placement.POLICIES
            ),
        )


async def _estimates(policy: str, seed: int) -> tuple[base.Cell, ...]:
    simulation = workplace.PlacerSimulation(policy, placement.HOSTS, seed)
    sizes_by_job = await _submit_jobs(simulation, random.Random(seed))
    took_s = await _run_until_ended(simulation)
    done = _in_state(simulation, work.JobState.DONE)
    failed = _in_state(simulation, work.JobState.FAILED)
    cells: list[base.Cell] = [policy, len(done), len(failed)]
    cells.append(JOBS - len(done) - len(failed))
    cells.append(took_s)
    worked = sum(sizes_by_job[job_id] for job_id in done) * RUN_S
    available = placement.HOSTS * workplace.CAPACITY.processors * took_s
    cells.append(round(worked / available, 3))
    cells.append(round(simulation.peak_overuse, 2))
    cells.append(round(len(simulation.workers.starts()) / JOBS, 2))
    return tuple(cells)


async def _submit_jobs(
    simulation: workplace.PlacerSimulation, rng: random.Random
) -> dict[str, float]:
    sizes_by_job: dict[str, float] = {}
    for _ in range(JOBS):
        draft, size = _misestimated_draft(rng)
        sizes_by_job[await simulation.submit(draft, 'ledger')] = size
    return sizes_by_job


def _in_state(
    simulation: workplace.PlacerSimulation, state: work.JobState
) -> tuple[str, ...]:
    return tuple(
        job.id for job in simulation.jobs_by_id().values() if job.state is state
    )


def _misestimated_draft(rng: random.Random) -> tuple[drafts.Draft, float]:
    ratio = 10 ** rng.uniform(-1, 1)
    size = min(MAX_PROCESSORS, DECLARED_PROCESSORS * ratio)
    memory_mb = min(MAX_MEMORY_MB, DECLARED_MEMORY_MB * ratio)
    draft = drafts.Draft(
        service='match',
        processors=DECLARED_PROCESSORS,
        memory_mb=DECLARED_MEMORY_MB,
        command=f'run={RUN_S} use={size} memory={memory_mb}',
    )
    return draft, size


async def _run_until_ended(simulation: workplace.PlacerSimulation) -> float:
    began_s = simulation.clock.wall_s()
    while simulation.clock.wall_s() - began_s < LIMIT_S:
        await simulation.run_for(CHECK_S)
        jobs = simulation.jobs_by_id().values()
        if all(job.ended_s for job in jobs):
            break
    return round(simulation.clock.wall_s() - began_s, 1)


class BadWorker(base.Benchmark):
    """One of six workers fails each task as soon as it starts."""

    name = 'placement-bad-worker'

    def run(self, seed: int) -> Iterator[base.Table]:
        """Run the same jobs with each policy."""
        yield base.Table(
            title='A worker that fails everything at once',
            note=(
                '600 jobs on 6 hosts, half of them not idempotent; one host '
                'fails each task at once.'
            ),
            columns=(
                'policy',
                'done',
                'failed',
                'seconds',
                'starts on the bad host',
            ),
            rows=tuple(
                asyncio.run(_bad_worker(policy, seed))
                for policy in placement.POLICIES
            ),
        )


async def _bad_worker(policy: str, seed: int) -> tuple[base.Cell, ...]:
    simulation = workplace.PlacerSimulation(policy, placement.HOSTS, seed)
    failing_worker = simulation.workers.models_by_address['h0']
    failing_worker.fails_everything = True
    for number in range(JOBS):
        draft = drafts.Draft(
            service='match',
            processors=DECLARED_PROCESSORS,
            memory_mb=DECLARED_MEMORY_MB,
            idempotent=number % 2 == 0,
            command='run=5',
        )
        await simulation.submit(draft, 'ledger')
    took_s = await _run_until_ended(simulation)
    states = [job.state for job in simulation.jobs_by_id().values()]
    return (
        policy,
        states.count(work.JobState.DONE),
        states.count(work.JobState.FAILED),
        took_s,
        len(failing_worker.executions.since(0)),
    )


class Cancellations(base.Benchmark):
    """Many queued jobs are cancelled at the same time."""

    name = 'placement-cancellations'

    def run(self, seed: int) -> Iterator[base.Table]:
        """Submit jobs and cancel them all, concurrently."""
        yield base.Table(
            title='A wave of cancellations',
            note='2,000 queued jobs of an idle shard are cancelled at once.',
            columns=(
                'jobs',
                'store writes to submit',
                'submit ms a job',
                'store writes to cancel',
                'cancel ms a job',
            ),
            rows=(asyncio.run(_cancel(seed)),),
        )


async def _cancel(seed: int) -> tuple[base.Cell, ...]:
    simulation = workplace.PlacerSimulation('preempt', 0, seed)
    draft = drafts.Draft(service='match')
    began_s = time.process_time()
    ids = await asyncio.gather(
        *(simulation.submit(draft, 'ledger') for _ in range(CANCELLED_JOBS))
    )
    submitted_s = time.process_time()
    writes = simulation.store.calls_by_name['put']
    await asyncio.gather(
        *(simulation.job_registry.cancel(job_id) for job_id in ids)
    )
    ended_s = time.process_time()
    return (
        CANCELLED_JOBS,
        writes,
        round((submitted_s - began_s) * 1000 / CANCELLED_JOBS, 3),
        simulation.store.calls_by_name['put'] - writes,
        round((ended_s - submitted_s) * 1000 / CANCELLED_JOBS, 3),
    )
