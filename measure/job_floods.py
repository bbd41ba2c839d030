"""Jobs finished in time while jobs of one kind flood the placer."""

import asyncio
import dataclasses
import itertools
import random
from collections.abc import Iterable, Iterator, Sequence

from jackdawlatch.model import work
from jackdawlatch.placement import drafts
from measure import base, placement, workplace

HOSTS = placement.HOSTS
POLICIES = placement.POLICIES
TICK_S = 0.5


@dataclasses.dataclass(frozen=True, order=True)
class Stream:
    """Jobs of one kind: run time, time budget, load and size.

    ``load`` is the demand for processors over those of all hosts.
    """

    team: str
    urgency: work.Urgency
    run_s: float
    budget_s: float
    load: float
    processors: float = 8

    @property
    def mean_gap_s(self) -> float:
        """Return the mean time between two jobs in seconds."""
        total = HOSTS * workplace.CAPACITY.processors
        return self.run_s * self.processors / (self.load * total)


@dataclasses.dataclass(frozen=True)
class SubmittedJob:
    """A submitted job's stream and its time of submission."""

    stream: Stream
    at_s: float

    def in_budget(self, job: work.Job) -> bool:
        """Return whether the job was done within its time budget."""
        took_s = job.ended_s - self.at_s
        return job.state is work.JobState.DONE and took_s <= (
            self.stream.budget_s
        )


STREAMS = (
    Stream('desk', work.Urgency.URGENT, 5, 10, 0.15),
    Stream('courier', work.Urgency.NORMAL, 10, 40, 0.15),
    Stream('ledger', work.Urgency.BATCH, 30, 100, 0.25),
)
FLOODS = (
    Stream('flood', work.Urgency.BATCH, 30, 100, 5, 64),
    Stream('flood', work.Urgency.BATCH, 30, 100, 20, 64),
    Stream('flood', work.Urgency.URGENT, 5, 10, 5, 64),
    Stream('flood', work.Urgency.URGENT, 5, 10, 20, 64),
)
FLOOD_S = 60
SETTLE_S = 120


class JobFlood(base.Benchmark):
    """Jobs of other kinds finished in time during a flood of one kind."""

    name = 'placement-flood'

    def run(self, seed: int) -> Iterator[base.Table]:
        """Flood with batch and with urgent jobs, with each policy."""
        yield base.Table(
            title='Other jobs during a flood of jobs',
            note=(
                'Jobs done within their budget over those of the same run '
                'without a flood, for 60 s at 55% load besides the flood. '
                'Target: 0.95 of each other kind.'
            ),
            columns=(
                'flood',
                'times',
                'policy',
                *(f'{one.team}/{one.urgency.value}' for one in STREAMS),
            ),
            rows=tuple(
                row for policy in POLICIES for row in _floods(policy, seed)
            ),
        )


def _floods(policy: str, seed: int) -> Iterator[tuple[base.Cell, ...]]:
    baseline = asyncio.run(_run(policy, seed, STREAMS))
    for flood in FLOODS:
        in_budget = asyncio.run(_run(policy, seed, (*STREAMS, flood)))
        goodput_ratios = [
            round(in_budget[one.team] / max(1, baseline[one.team]), 3)
            for one in STREAMS
        ]
        yield (flood.urgency.value, flood.load, policy, *goodput_ratios)


async def _run(
    policy: str, seed: int, streams: Sequence[Stream]
) -> dict[str, int]:
    simulation = workplace.PlacerSimulation(policy, HOSTS, seed)
    submitted_by_id: dict[str, SubmittedJob] = {}
    arrivals = sorted(
        arrival for one in streams for arrival in _arrivals(one, seed)
    )
    for tick, group in itertools.groupby(arrivals, _tick):
        elapsed_s = simulation.clock.wall_s() - workplace.START_S
        await simulation.run_for(tick * TICK_S - elapsed_s)
        submitted_by_id.update(
            await _submit(simulation, [one for _, one in group])
        )
    await simulation.run_for(SETTLE_S)
    return _count_in_budget(simulation, submitted_by_id)


async def _submit(
    simulation: workplace.PlacerSimulation, streams: Iterable[Stream]
) -> dict[str, SubmittedJob]:
    now_s = simulation.clock.wall_s()
    submissions = list(streams)
    ids = await asyncio.gather(
        *(simulation.submit(_draft(one), one.team) for one in submissions)
    )
    return {
        job_id: SubmittedJob(stream, now_s)
        for job_id, stream in zip(ids, submissions, strict=True)
    }


def _count_in_budget(
    simulation: workplace.PlacerSimulation,
    submitted_by_id: dict[str, SubmittedJob],
) -> dict[str, int]:
    jobs_by_id = simulation.jobs_by_id()
    in_budget = dict.fromkeys(
        (one.stream.team for one in submitted_by_id.values()), 0
    )
    for job_id, one in submitted_by_id.items():
        in_budget[one.stream.team] += one.in_budget(jobs_by_id[job_id])
    return in_budget


def _arrivals(stream: Stream, seed: int) -> Iterator[tuple[float, Stream]]:
    rng = random.Random(f'{seed}/{stream.team}')
    at_s = rng.expovariate(1 / stream.mean_gap_s)
    while at_s < FLOOD_S:
        yield at_s, stream
        at_s += rng.expovariate(1 / stream.mean_gap_s)


def _tick(arrival: tuple[float, Stream]) -> int:
    return int(arrival[0] / TICK_S)


def _draft(stream: Stream) -> drafts.Draft:
    return drafts.Draft(
        service='match',
        urgency=stream.urgency,
        processors=stream.processors,
        memory_mb=1000,
        command=f'run={stream.run_s}',
    )
