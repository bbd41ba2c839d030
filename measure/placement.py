"""How soon urgent jobs start at full pools, and what that costs others."""

import asyncio
import dataclasses
from collections.abc import Iterator, Sequence

from jackdawlatch.model import work
from jackdawlatch.placement import drafts
from measure import base, workplace

POLICIES = ('preempt', 'queue')
HOSTS = 6
FULL_S = 30
LAST_S = 20
BATCH_JOBS = 48
URGENT_JOBS = 40
URGENT_EVERY_S = 2.0
NEVER_S = 999.0


@dataclasses.dataclass(frozen=True)
class Bound:
    """What fills the pool: batch jobs, four to a host."""

    name: str
    processors: float
    memory_mb: float
    idempotent: bool


BOUNDS = (
    Bound('processors', 16, 16_000, idempotent=True),
    Bound('memory', 8, 32_000, idempotent=True),
    Bound('processors, non-idempotent', 16, 16_000, idempotent=False),
)


class UrgentStart(base.Measure):
    """How soon urgent jobs start where batch work fills the pool."""

    name = 'placement-urgent'

    def run(self, seed: int) -> Iterator[base.Table]:
        """Measure each bound with both policies."""
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
    ran = {
        policy: asyncio.run(_urgent(policy, bound, seed)) for policy in POLICIES
    }
    least = ran['queue'][1]
    for policy, (waits_s, worked) in ran.items():
        yield (
            bound.name,
            policy,
            *(_share(waits_s, part) for part in (0.5, 0.99, 1)),
            sum(wait_s == NEVER_S for wait_s in waits_s),
            round(worked / least, 3),
        )


async def _urgent(
    policy: str, bound: Bound, seed: int
) -> tuple[list[float], float]:
    place = workplace.Workplace(policy, HOSTS, seed)
    batch_ids = [
        await place.submit(_batch(bound), 'ledger') for _ in range(BATCH_JOBS)
    ]
    await place.go_on(FULL_S)
    asked_s = await _ask(place, bound.memory_mb / 2)
    await place.go_on(LAST_S)
    starts = place.starts_by_job()
    waits_s = sorted(
        starts.get(job_id, at_s + NEVER_S) - at_s
        for job_id, at_s in asked_s.items()
    )
    progress = await place.progress_by_job()
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


async def _ask(
    place: workplace.Workplace, memory_mb: float
) -> dict[str, float]:
    urgent = drafts.Draft(
        service='match',
        urgency=work.Urgency.URGENT,
        processors=8,
        memory_mb=memory_mb,
        command='run=5',
    )
    asked_s: dict[str, float] = {}
    for _ in range(URGENT_JOBS):
        job_id = await place.submit(urgent, 'desk')
        asked_s[job_id] = place.clock.wall_s()
        await place.go_on(URGENT_EVERY_S)
    return asked_s


def _share(ordered: Sequence[float], part: float) -> float:
    last = len(ordered) - 1
    return round(ordered[int(part * last)], 2)
