"""Processor time of the claims and quotas of teams."""

import functools
import time
from collections.abc import Callable, Iterator

from jackdawlatch.jobs import model, queues
from jackdawlatch.model import presets, teams
from jackdawlatch.policy import claims
from jackdawlatch.scheduler import (
    demand,
    job_order,
    lateness,
    planner,
    reports,
    round_times,
    tasks,
    team_accounts,
    workers,
)
from measure import base

CLAIMS = 5000
TEAMS = 110
WEIGHTS = (2, 20, 200)
SIZES = ((100, 1000), (100, 10_000), (1000, 1000), (10_000, 1000))
REPEATS = 5
US_PER_S = 1e6
MS_PER_S = 1e3
NOW = round_times.RoundTime(monotonic_s=100, wall_s=100)
QUEUE = queues.Queue('photos', 'host', '/photos/', 'photo')
CORE = model.Room(processors_m=1000, memory_mb=100)
MACHINE = model.Room(processors_m=4000, memory_mb=4000)


class TeamCosts(base.Benchmark):
    """Claims of jobs, and rounds in which all waiting jobs are blocked."""

    name = 'team-costs'

    def run(self, seed: int) -> Iterator[base.Table]:
        """Vary the weight of teams, and the workers and waiting jobs."""
        yield base.Table(
            title='Processor time of the claim of one job',
            note='One of 110 teams sends four times its weight.',
            columns=('weight', 'us per job'),
            rows=tuple(
                (weight, round(_least_s(_claim, weight) / CLAIMS * US_PER_S, 1))
                for weight in WEIGHTS
            ),
        )
        yield base.Table(
            title='Processor time of a planning round and of the demand',
            note=(
                'No waiting job can start: without teams the workers are full, '
                'with 110 teams their quotas are.  The least of five runs.'
            ),
            columns=(
                'workers',
                'waiting jobs',
                'ms per round, no teams',
                'ms per round, at quota',
                'ms for demand, no teams',
                'ms for demand, at quota',
            ),
            rows=tuple((*size, *_round_ms(*size)) for size in SIZES),
        )


def _least_s(work: Callable[..., object], *arguments: object) -> float:
    """Return the processor time of the fastest of some runs."""
    took_s = []
    for _ in range(REPEATS):
        begun_s = time.process_time()
        work(*arguments)
        took_s.append(time.process_time() - begun_s)
    return min(took_s)


def _claim(weight: float) -> None:
    known = claims.Claims()
    for number in range(CLAIMS):
        known.claim('flooding', weight, number / weight / 4)


def _round_ms(worker_count: int, job_count: int) -> list[float]:
    """Return rounds and demand, each without teams and at their quotas."""
    costs = [
        _costs_ms(worker_count, job_count, team_count)
        for team_count in (0, TEAMS)
    ]
    return [round(cost_ms, 2) for pair in zip(*costs) for cost_ms in pair]


def _costs_ms(
    worker_count: int, job_count: int, team_count: int
) -> tuple[float, float]:
    jobs = _jobs(job_count, team_count)
    free = CORE if team_count else model.Room()
    pool = [_worker(number, free) for number in range(worker_count)]
    judged = lateness.Lateness()
    planned = planner.Planner(
        job_order.ObjectiveOrder(judged), judged, None
    ).plan
    counted = functools.partial(demand.by_lateness, jobs, NOW, judged)
    return (
        _least_s(planned, jobs, {'photo': pool}, NOW) * MS_PER_S,
        _least_s(counted, MACHINE) * MS_PER_S,
    )


def _jobs(job_count: int, team_count: int) -> list[tasks.JobState]:
    names = [f't{number}' for number in range(team_count)] or ['']
    catalog = queues.Catalog(
        1,
        teams=[
            teams.Team(name=name, quota=presets.Quota(processors=1))
            for name in names
        ],
    )
    accounts = team_accounts.Accounts()
    jobs = []
    for number in range(job_count):
        job = model.Job(
            id=str(number),
            queue='photos',
            service='photo',
            steps=(model.Step(count=4, room=CORE, estimate_s=1),),
            team=names[number % len(names)],
            accepted_s=number,
        )
        claim = accounts.claim(job, catalog)
        claim.account.held = CORE
        jobs.append(tasks.JobState(job, NOW.monotonic_s, claim))
        jobs[-1].queue = QUEUE
    return jobs


def _worker(number: int, free: model.Room) -> workers.Worker:
    worker = workers.Worker(
        reports.WorkerEntry(
            id=str(number),
            born_ms=1,
            address='',
            service='photo',
            zone='z',
            machine=str(number),
            room=MACHINE,
        )
    )
    worker.reachable = True
    worker.free = free
    return worker
