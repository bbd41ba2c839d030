"""Declared sizes far off, workers that fail everything, cancellations."""

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
WAVE = 2000
PROCESSORS = 8
MEMORY_MB = 8000
MOST_PROCESSORS = 64
MOST_MEMORY_MB = 100_000


class BadEstimates(base.Measure):
    """Jobs whose declared sizes are off by up to ten times either way."""

    name = 'placement-estimates'

    def run(self, seed: int) -> Iterator[base.Table]:
        """Measure both policies on the same jobs."""
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
    place = workplace.Workplace(policy, placement.HOSTS, seed)
    sizes_by_job = await _fill(place, random.Random(seed))
    took_s = await _until_ended(place)
    done = _in_state(place, work.JobState.DONE)
    failed = _in_state(place, work.JobState.FAILED)
    cells: list[base.Cell] = [policy, len(done), len(failed)]
    cells.append(JOBS - len(done) - len(failed))
    cells.append(took_s)
    worked = sum(sizes_by_job[job_id] for job_id in done) * RUN_S
    able = placement.HOSTS * workplace.CAPACITY.processors * took_s
    cells.append(round(worked / able, 3))
    cells.append(round(place.overuse, 2))
    cells.append(round(len(place.workers.starts()) / JOBS, 2))
    return tuple(cells)


async def _fill(
    place: workplace.Workplace, numbers: random.Random
) -> dict[str, float]:
    sizes_by_job: dict[str, float] = {}
    for _ in range(JOBS):
        draft, size = _misjudged(numbers)
        sizes_by_job[await place.submit(draft, 'ledger')] = size
    return sizes_by_job


def _in_state(
    place: workplace.Workplace, state: work.JobState
) -> tuple[str, ...]:
    return tuple(
        job.id for job in place.jobs_by_id().values() if job.state is state
    )


def _misjudged(numbers: random.Random) -> tuple[drafts.Draft, float]:
    ratio = 10 ** numbers.uniform(-1, 1)
    size = min(MOST_PROCESSORS, PROCESSORS * ratio)
    memory_mb = min(MOST_MEMORY_MB, MEMORY_MB * ratio)
    draft = drafts.Draft(
        service='match',
        processors=PROCESSORS,
        memory_mb=MEMORY_MB,
        command=f'run={RUN_S} use={size} memory={memory_mb}',
    )
    return draft, size


async def _until_ended(place: workplace.Workplace) -> float:
    began_s = place.clock.wall_s()
    while place.clock.wall_s() - began_s < LIMIT_S:
        await place.go_on(CHECK_S)
        jobs = place.jobs_by_id().values()
        if all(job.ended_s for job in jobs):
            break
    return round(place.clock.wall_s() - began_s, 1)


class BadWorker(base.Measure):
    """One of six workers fails everything it starts, at once."""

    name = 'placement-bad-worker'

    def run(self, seed: int) -> Iterator[base.Table]:
        """Measure both policies on the same jobs."""
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
    place = workplace.Workplace(policy, placement.HOSTS, seed)
    bad = place.workers.models_by_address['h0']
    bad.fails_everything = True
    for number in range(JOBS):
        draft = drafts.Draft(
            service='match',
            processors=PROCESSORS,
            memory_mb=MEMORY_MB,
            idempotent=number % 2 == 0,
            command='run=5',
        )
        await place.submit(draft, 'ledger')
    took_s = await _until_ended(place)
    states = [job.state for job in place.jobs_by_id().values()]
    return (
        policy,
        states.count(work.JobState.DONE),
        states.count(work.JobState.FAILED),
        took_s,
        len(bad.executions.since(0)),
    )


class Cancellations(base.Measure):
    """A wave of cancellations of queued jobs."""

    name = 'placement-cancellations'

    def run(self, seed: int) -> Iterator[base.Table]:
        """Cancel many jobs at once."""
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
    place = workplace.Workplace('preempt', 0, seed)
    draft = drafts.Draft(service='match')
    began_s = time.process_time()
    ids = await asyncio.gather(
        *(place.submit(draft, 'ledger') for _ in range(WAVE))
    )
    submitted_s = time.process_time()
    writes = place.store.calls_by_name['put']
    await asyncio.gather(*(place.book.cancel(job_id) for job_id in ids))
    ended_s = time.process_time()
    return (
        WAVE,
        writes,
        round((submitted_s - began_s) * 1000 / WAVE, 3),
        place.store.calls_by_name['put'] - writes,
        round((ended_s - submitted_s) * 1000 / WAVE, 3),
    )
