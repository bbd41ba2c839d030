"""What the other work keeps during a flood of one kind."""

import dataclasses
from collections.abc import Iterable, Iterator, Mapping, Sequence

from jackdawlatch.model import presets, work
from measure import base, virtual

WARM_UP_S = 2.0
END_S = 8.0
DELAYS_S = {'brolly-adfer': 0.0005, 'prairie-slate': 0.0015}
FACTORS = (5, 20)
MS_PER_S = 1000


@dataclasses.dataclass(frozen=True)
class Way:
    """A policy, with one broker for the service or one in each entry."""

    name: str
    admission: str
    shared: bool = True


WAYS = (
    Way('fair, broker', 'fair'),
    Way('fifo, broker', 'fifo'),
    Way('strict, broker', 'strict'),
    Way('fair, each entry alone', 'fair', shared=False),
)


def stream(
    team: str,
    urgency: work.Urgency,
    mean_s: float,
    budget_s: float,
    load: float,
) -> virtual.Stream:
    """Return a stream with the same load at all times."""
    kind = work.Kind(service='match', team=team, urgency=urgency)
    name = f'{team}/{urgency.value}'
    return virtual.Stream(name, kind, mean_s, budget_s, lambda _now_s: load)


LOOKUP = stream('desk', work.Urgency.URGENT, 0.02, 0.5, 0.2)
PICKUP = stream('courier', work.Urgency.NORMAL, 0.04, 1, 0.15)
PHONE = stream('owner', work.Urgency.URGENT, 0.05, 1, 0.1)
LEDGER = stream('ledger', work.Urgency.BATCH, 0.5, 30, 0.15)
TEXTS = stream('texts', work.Urgency.BATCH, 0.1, 10, 0.05)
ORDINARY = (LOOKUP, PICKUP, PHONE, LEDGER, TEXTS)
FLOODED_BY_NAME = {'least urgent': LEDGER, 'most urgent': PHONE}


@dataclasses.dataclass(frozen=True)
class Summary:
    """What became of one stream."""

    good: int
    p99_s: float


def preset_of(way: Way) -> presets.Preset:
    """Return the preset of a way, with equal shares."""
    return presets.Preset(name='measure', admission=way.admission)


def summaries(
    outcomes: Iterable[virtual.Outcome],
) -> Mapping[str, Summary]:
    """Return a summary of each stream after the warm-up."""
    by_stream: dict[str, list[virtual.Outcome]] = {}
    for outcome in outcomes:
        if outcome.at_s >= WARM_UP_S:
            by_stream.setdefault(outcome.stream, []).append(outcome)
    return {
        name: Summary(sum(each.good for each in found), _p99_s(found))
        for name, found in by_stream.items()
    }


def _p99_s(outcomes: Sequence[virtual.Outcome]) -> float:
    latencies_s = sorted(
        each.latency_s for each in outcomes if each.latency_s is not None
    )
    if not latencies_s:
        return float('inf')
    return latencies_s[int(0.99 * len(latencies_s))]


def use(outcomes: Iterable[virtual.Outcome]) -> float:
    """Return slot-seconds worked over those there were after warm-up."""
    worked_s: float = 0
    for outcome in outcomes:
        if outcome.latency_s is not None:
            ended_s = outcome.at_s + outcome.latency_s
            began_s = max(WARM_UP_S, ended_s - outcome.service_s)
            worked_s += max(0, min(END_S, ended_s) - began_s)
    return worked_s / (END_S - WARM_UP_S) / virtual.TOTAL_SLOTS


class Flood(base.Measure):
    """Floods of the least and the most urgent work, at two strengths."""

    name = 'flood'

    def run(self, seed: int) -> Iterator[base.Table]:
        """Measure both deployments."""
        for deployment, delay_s in DELAYS_S.items():
            rows = tuple(
                row
                for flood in FLOODED_BY_NAME
                for factor in FACTORS
                for way in WAYS
                for row in _rows(flood, factor, way, seed, delay_s)
            )
            yield base.Table(
                title=f'Other work during a flood, {deployment}',
                note=(
                    'Each other kind against the same run without the '
                    'flood, the worst kind first; targets: goodput >= 0.95, '
                    'p99 ratio <= 2, slots >= 0.9.'
                ),
                columns=(
                    'flood',
                    'times',
                    'way',
                    'worst goodput',
                    'worst p99 ratio',
                    'all: goodput, p99 ratio, p99 ms',
                    'slots used',
                ),
                rows=rows,
            )


def _rows(
    flood: str, factor: int, way: Way, seed: int, delay_s: float
) -> Iterator[tuple[base.Cell, ...]]:
    flooded = FLOODED_BY_NAME[flood]
    calm = summaries(_run(way, seed, delay_s, ORDINARY))
    surge = dataclasses.replace(
        flooded, name='flood', load=lambda _now_s: float(factor)
    )
    outcomes = _run(way, seed, delay_s, (*ORDINARY, surge))
    storm = summaries(outcomes)
    others = [each.name for each in ORDINARY if each is not flooded]
    goodputs = {name: storm[name].good / calm[name].good for name in others}
    ratios = {name: storm[name].p99_s / calm[name].p99_s for name in others}
    yield (
        flood,
        factor,
        way.name,
        round(min(goodputs.values()), 3),
        round(max(ratios.values()), 2),
        '; '.join(
            f'{name} {goodputs[name]:.3f}, {ratios[name]:.2f}, '
            f'{storm[name].p99_s * MS_PER_S:.0f}'
            for name in others
        ),
        round(use(outcomes), 3),
    )


def _run(
    way: Way, seed: int, delay_s: float, streams: Sequence[virtual.Stream]
) -> list[virtual.Outcome]:
    loop = virtual.Loop(preset_of(way), seed, delay_s, way.shared)
    return loop.run(streams, END_S)
