"""What a round of planning and the job book cost at three sizes."""

import random
import time
from collections.abc import Iterator

from jackdawlatch.model import hosts, records, work
from jackdawlatch.placement import buckets, policies, snapshots, worker_health
from measure import base, workplace

SIZES = (100, 1000, 10_000)
TASKS_PER_HOST = 5
TEAMS = 110
POOL_HOSTS = 333
REPEATS = 3
NOW_S = 100
MILLISECONDS = 1000
MICROSECONDS = 1_000_000
KB = 1024
LOADS = ('full', 'settled')


class PlanningCost(base.Measure):
    """The time of a round, and the bytes of the book."""

    name = 'placement-cost'

    def run(self, seed: int) -> Iterator[base.Table]:
        """Measure at each size."""
        yield base.Table(
            title='Cost of a round of planning',
            note=(
                'Pools of 333 hosts, five batch tasks a host, as many queued '
                'jobs as hosts, 110 teams; best of three. Full: each queued '
                'job is entitled to room that others must make. Settled: '
                'none is. A region of eight at '
                'design size has 1,250 hosts. Bytes are those of the whole '
                'book with these jobs, plain and packed.'
            ),
            columns=(
                'hosts',
                'pools are',
                'ms a round',
                'us a host',
                'decisions',
                'book KB',
                'packed KB',
            ),
            rows=tuple(
                _row(size, load, seed) for size in SIZES for load in LOADS
            ),
        )


def _row(size: int, load: str, seed: int) -> tuple[base.Cell, ...]:
    pools = tuple(_pools(size, load, random.Random(seed)))
    best_s, decided = _round(pools, seed)
    plain, packed = _book_bytes(pools)
    cells: list[base.Cell] = [size, load]
    cells.append(round(best_s * MILLISECONDS, 1))
    cells.append(round(best_s * MICROSECONDS / size, 1))
    cells.append(decided)
    cells.append(round(plain / KB))
    cells.append(round(packed / KB))
    return tuple(cells)


def _round(pools: tuple[snapshots.Pool, ...], seed: int) -> tuple[float, int]:
    best_s = float('inf')
    for _ in range(REPEATS):
        seen = snapshots.Snapshot(NOW_S, pools, random.Random(seed))
        began_s = time.process_time()
        decided = policies.create('preempt').plan(seen)
        best_s = min(best_s, time.process_time() - began_s)
    return best_s, len(decided)


def _pools(
    size: int, load: str, numbers: random.Random
) -> Iterator[snapshots.Pool]:
    for first in range(0, size, POOL_HOSTS):
        count = min(POOL_HOSTS, size - first)
        names = [f'h{first + place}' for place in range(count)]
        yield snapshots.Pool(
            name=f'pool-{first}',
            machines=tuple(
                snapshots.Machine(
                    name,
                    workplace.CAPACITY,
                    trust=worker_health.Trust.PROVEN,
                )
                for name in names
            ),
            tasks_by_host={
                name: tuple(_tasks(name, numbers)) for name in names
            },
            queued=tuple(_queued(names, load, numbers)),
        )


def _queued(
    names: list[str], load: str, numbers: random.Random
) -> Iterator[work.Job]:
    # Where all is settled, what waits is no more urgent than what runs.
    urgency = work.Urgency.NORMAL if load == 'full' else work.Urgency.BATCH
    for name in names:
        job = _job(f'q-{name}', numbers, urgency)
        yield records.replace(job, submitted_s=_since(load))


def _tasks(name: str, numbers: random.Random) -> Iterator[snapshots.Task]:
    for place in range(TASKS_PER_HOST):
        job = _job(f'{name}-{place}', numbers, work.Urgency.BATCH)
        yield snapshots.Task(job, job.declared, reserved=job.declared)


def _since(load: str) -> float:
    return 0 if load == 'full' else NOW_S


def _job(name: str, numbers: random.Random, urgency: work.Urgency) -> work.Job:
    team = f'team-{numbers.randrange(TEAMS)}'
    return work.Job(
        id=f'{numbers.getrandbits(128):032x}',
        kind=work.Kind(service='match', team=team, urgency=urgency),
        declared=hosts.Capacity(processors=12, memory_mb=20_000),
        run_time_s=60,
        command=f'run=60 name={name}',
        submitted_s=numbers.uniform(0, 100),
    )


def _book_bytes(pools: tuple[snapshots.Pool, ...]) -> tuple[int, int]:
    bucket = buckets.Bucket(
        jobs_by_id={
            job.id: job
            for pool in pools
            for job in (
                *pool.queued,
                *(
                    task.job
                    for tasks in pool.tasks_by_host.values()
                    for task in tasks
                ),
            )
        }
    )
    return len(records.encode(bucket)), len(records.pack(bucket))
