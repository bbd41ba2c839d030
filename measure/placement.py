"""Start delay of urgent jobs in full pools, and its cost to batch jobs."""

import asyncio
import dataclasses
from collections.abc import Iterator, Sequence

from jackdawlatch.model import work
from jackdawlatch.placement import drafts
from measure import base, workplace

POLICIES = ('preempt', 'queue')
HOSTS = 6
FILL_S = 30
SETTLE_S = 20
BATCH_JOBS = 48
URGENT_JOBS = 40
URGENT_EVERY_S = 2.0
NOT_STARTED_S = 999.0


@dataclasses.dataclass(frozen=True)
class Bound:
    """Size of the batch jobs that fill the pool, four to a host."""

    name: str
    processors: float
    memory_mb: float
    idempotent: bool


BOUNDS = (
    Bound('processors', 16, 16_000, idempotent=True),
    Bound('memory', 8, 32_000, idempotent=True),
    Bound('processors, non-idempotent', 16, 16_000, idempotent=False),
)


class UrgentStart(base.Benchmark):
    """Start delay of urgent jobs where batch jobs fill the pool."""

    name = 'placement-urgent'

    def run(self, seed: int) -> Iterator[base.Table]:
        """Measure each kind of batch job with each policy."""
        yield base.Table(
            title='Urgent start at full pools',
            note=(
                'Batch jobs of ten minutes fill 6 hosts twice over; an '
                'urgent job of 5 s on 8 processors comes every 2 s. Seconds '
                'from submission to the start on the worker; a checkpoint '
                'takes 1 s. Target: 2.6 s. Batch work is what was worked '
                'over the same time, over that of `queue`.'
            ),
            columns=(
                'bound by',
                'policy',
                'p50 s',
                'p99 s',
                'max s',
                'not started',
                'batch work',
            ),
            rows=tuple(
                row for bound in BOUNDS for row in _urgent_rows(bound, seed)
            ),
        )


def _urgent_rows(bound: Bound, seed: int) -> Iterator[tuple[base.Cell, ...]]:
    results_by_policy = {
        policy: asyncio.run(_urgent(policy, bound, seed)) for policy in POLICIES
    }
    baseline = results_by_policy['queue'][1]
    for policy, (waits_s, done_work) in results_by_policy.items():
        yield (
            bound.name,
            policy,
            *(_percentile(waits_s, fraction) for fraction in (0.5, 0.99, 1)),
            sum(wait_s == NOT_STARTED_S for wait_s in waits_s),
            round(done_work / baseline, 3),
        )


async def _urgent(
    policy: str, bound: Bound, seed: int
) -> tuple[list[float], float]:
    simulation = workplace.PlacerSimulation(policy, HOSTS, seed)
    batch_ids = [
        await simulation.submit(_batch(bound), 'ledger')
        for _ in range(BATCH_JOBS)
    ]
    await simulation.run_for(FILL_S)
    submitted_s_by_job = await _submit_urgent(simulation, bound.memory_mb / 2)
    await simulation.run_for(SETTLE_S)
    starts = simulation.starts_by_job()
    waits_s = sorted(
        starts.get(job_id, at_s + NOT_STARTED_S) - at_s
        for job_id, at_s in submitted_s_by_job.items()
    )
    progress = await simulation.progress_by_job()
    return waits_s, sum(progress.get(job_id, 0) for job_id in batch_ids)


def _batch(bound: Bound) -> drafts.Draft:
    return drafts.Draft(
        service='match',
        urgency=work.Urgency.BATCH,
        processors=bound.processors,
        memory_mb=bound.memory_mb,
        idempotent=bound.idempotent,
        command='run=600',
    )


async def _submit_urgent(
    simulation: workplace.PlacerSimulation, memory_mb: float
) -> dict[str, float]:
    urgent = drafts.Draft(
        service='match',
        urgency=work.Urgency.URGENT,
        processors=8,
        memory_mb=memory_mb,
        command='run=5',
    )
    submitted_s_by_job: dict[str, float] = {}
    for _ in range(URGENT_JOBS):
        job_id = await simulation.submit(urgent, 'desk')
        submitted_s_by_job[job_id] = simulation.clock.wall_s()
        await simulation.run_for(URGENT_EVERY_S)
    return submitted_s_by_job


def _percentile(ordered: Sequence[float], fraction: float) -> float:
    last = len(ordered) - 1
    return round(ordered[int(fraction * last)], 2)
