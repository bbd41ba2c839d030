"""What the other jobs keep during a flood of jobs of one kind."""

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
    """Jobs of one kind: how large, how long, how soon they must be done."""

    team: str
    urgency: work.Urgency
    run_s: float
    budget_s: float
    load: float
    processors: float = 8

    @property
    def every_s(self) -> float:
        """Return the mean time between two jobs."""
        total = HOSTS * workplace.CAPACITY.processors
        return self.run_s * self.processors / (self.load * total)


@dataclasses.dataclass(frozen=True)
class Asked:
    """A job that was submitted at a time."""

    stream: Stream
    at_s: float

    def good(self, job: work.Job) -> bool:
        """Whether the job was done within its budget."""
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


class JobFlood(base.Measure):
    """What the other jobs keep during a flood of one kind."""

    name = 'placement-flood'

    def run(self, seed: int) -> Iterator[base.Table]:
        """Measure floods of both ends with both policies."""
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
    calm = asyncio.run(_flooded(policy, seed, STREAMS))
    for flood in FLOODS:
        good = asyncio.run(_flooded(policy, seed, (*STREAMS, flood)))
        kept = [
            round(good[one.team] / max(1, calm[one.team]), 3) for one in STREAMS
        ]
        yield (flood.urgency.value, flood.load, policy, *kept)


async def _flooded(
    policy: str, seed: int, streams: Sequence[Stream]
) -> dict[str, int]:
    place = workplace.Workplace(policy, HOSTS, seed)
    asked: dict[str, Asked] = {}
    arrivals = sorted(
        arrival for one in streams for arrival in _arrivals(one, seed)
    )
    for tick, group in itertools.groupby(arrivals, _tick):
        past_s = place.clock.wall_s() - workplace.START_S
        await place.go_on(tick * TICK_S - past_s)
        asked.update(await _submit(place, [one for _, one in group]))
    await place.go_on(SETTLE_S)
    return _good(place, asked)


async def _submit(
    place: workplace.Workplace, streams: Iterable[Stream]
) -> dict[str, Asked]:
    now_s = place.clock.wall_s()
    wanted = list(streams)
    ids = await asyncio.gather(
        *(place.submit(_draft(one), one.team) for one in wanted)
    )
    return {
        job_id: Asked(stream, now_s)
        for job_id, stream in zip(ids, wanted, strict=True)
    }


def _good(
    place: workplace.Workplace, asked: dict[str, Asked]
) -> dict[str, int]:
    jobs_by_id = place.jobs_by_id()
    good = dict.fromkeys((one.stream.team for one in asked.values()), 0)
    for job_id, one in asked.items():
        good[one.stream.team] += one.good(jobs_by_id[job_id])
    return good


def _arrivals(stream: Stream, seed: int) -> Iterator[tuple[float, Stream]]:
    numbers = random.Random(f'{seed}/{stream.team}')
    at_s = numbers.expovariate(1 / stream.every_s)
    while at_s < FLOOD_S:
        yield at_s, stream
        at_s += numbers.expovariate(1 / stream.every_s)


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
