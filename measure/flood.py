"""Goodput and latency of other kinds of work while one kind floods."""

import dataclasses
import functools
import itertools
import types
from collections.abc import Iterable, Iterator, Mapping, Sequence

from jackdawlatch.model import presets, work
from measure import base, plots, results, virtual

WARM_UP_S = 2.0
END_S = 8.0
DELAYS_S = types.MappingProxyType(
    {'brolly-adfer': 0.0005, 'prairie-slate': 0.0015}
)
FACTORS = (5, 20)
QUEUE_LIMIT = 1200
NOTE = (
    'Each other kind against the same run without the flood; the onset lies '
    'in the window that counts. Targets: goodput >= 0.95, p99 ratio <= 2, '
    'slots >= 0.9.'
)
COLUMNS = (
    'flood',
    'times',
    'way',
    'worst goodput',
    'worst p99 ratio',
    'each: goodput, p99 ratio',
    'slots used',
)


@dataclasses.dataclass(frozen=True)
class BrokerSetup:
    """An admission policy, with one shared broker or one for each entry."""

    name: str
    admission: str
    shared: bool = True


BROKER_SETUPS = (
    BrokerSetup('fair, broker', 'fair'),
    BrokerSetup('fifo, broker', 'fifo'),
    BrokerSetup('strict, broker', 'strict'),
    BrokerSetup('fair, each entry alone', 'fair', shared=False),
)


def stream(
    team: str,
    urgency: work.Urgency,
    mean_s: float,
    budget_s: float,
    load: float,
) -> virtual.Stream:
    """Return a stream of constant load."""
    kind = work.Kind(service='match', team=team, urgency=urgency)
    name = f'{team}/{urgency.value}'
    return virtual.Stream(
        name, kind, mean_s, budget_s, load, lambda _now_s: load
    )


LOOKUP = stream('desk', work.Urgency.URGENT, 0.02, 0.5, 0.2)
PICKUP = stream('courier', work.Urgency.NORMAL, 0.04, 1, 0.15)
PHONE = stream('owner', work.Urgency.URGENT, 0.05, 1, 0.1)
LEDGER = stream('ledger', work.Urgency.BATCH, 0.5, 30, 0.15)
TEXTS = stream('texts', work.Urgency.BATCH, 0.1, 10, 0.05)
ORDINARY = (LOOKUP, PICKUP, PHONE, LEDGER, TEXTS)
HEAVY = (stream('desk', work.Urgency.URGENT, 0.02, 0.5, 0.4), *ORDINARY[1:])
FLOODED_BY_NAME = types.MappingProxyType(
    {'least urgent': LEDGER, 'most urgent': PHONE}
)


@dataclasses.dataclass(frozen=True)
class Summary:
    """Answers within the deadline, and the 99th percentile latency."""

    good: int
    p99_s: float


def preset_of(setup: BrokerSetup) -> presets.Preset:
    """Return the preset for a broker setup, with equal shares.

    The queues of all entries together hold as much as those of one broker.
    """
    limit = QUEUE_LIMIT if setup.shared else QUEUE_LIMIT // virtual.ENTRIES
    return presets.Preset(
        name='measure', admission=setup.admission, queue_limit=limit
    )


def summaries(
    outcomes: Iterable[virtual.Outcome],
) -> Mapping[str, Summary]:
    """Return a summary of each stream after the warm-up."""
    by_stream: dict[str, list[virtual.Outcome]] = {}
    for outcome in outcomes:
        if outcome.at_s >= WARM_UP_S:
            by_stream.setdefault(outcome.stream, []).append(outcome)
    return {
        name: Summary(
            sum(each.good for each in stream_outcomes), _p99_s(stream_outcomes)
        )
        for name, stream_outcomes in by_stream.items()
    }


def _p99_s(outcomes: Sequence[virtual.Outcome]) -> float:
    latencies_s = sorted(
        each.latency_s for each in outcomes if each.latency_s is not None
    )
    if not latencies_s:
        return float('inf')
    return latencies_s[int(0.99 * len(latencies_s))]


def slot_use(outcomes: Iterable[virtual.Outcome]) -> float:
    """Return the used fraction of all slots, from warm-up to end of load."""
    worked_s: float = 0
    for outcome in outcomes:
        if outcome.latency_s is not None:
            ended_s = outcome.at_s + outcome.latency_s
            began_s = max(WARM_UP_S, ended_s - outcome.service_s)
            worked_s += max(0, min(END_S, ended_s) - began_s)
    return worked_s / (END_S - WARM_UP_S) / virtual.TOTAL_SLOTS


class Flood(base.Benchmark):
    """Floods of the least and of the most urgent work, at two loads."""

    name = 'flood'

    def run(self, seed: int) -> Iterator[base.Table]:
        """Measure with the network delay of each deployment."""
        for deployment, delay_s in DELAYS_S.items():
            heavy = (
                _result('least urgent', 20, setup, seed, delay_s, HEAVY)
                for setup in BROKER_SETUPS
            )
            yield base.Table(
                title=f'A kind beyond its share, {deployment}',
                note=f'{NOTE} Lookups ask for 0.4 of the slots, twice '
                'their equal share.',
                columns=COLUMNS,
                rows=tuple(_row(each) for each in heavy),
            )
            flood_results = tuple(
                _result(flood, factor, setup, seed, delay_s)
                for flood, factor, setup in itertools.product(
                    FLOODED_BY_NAME, FACTORS, BROKER_SETUPS
                )
            )
            plot = plots.draw_floods(deployment, flood_results)
            yield base.Table(
                title=f'Other work during a flood, {deployment}',
                note=NOTE,
                columns=COLUMNS,
                rows=tuple(_row(each) for each in flood_results),
                plots=(plot,),
            )


def _row(flood_result: results.FloodResult) -> tuple[base.Cell, ...]:
    goodputs, ratios = (
        flood_result.goodput_by_kind,
        flood_result.p99_ratio_by_kind,
    )
    return (
        flood_result.flood,
        flood_result.factor,
        flood_result.setup,
        round(min(goodputs.values()), 3),
        round(max(ratios.values()), 2),
        '; '.join(
            f'{name} {goodputs[name]:.3f}, {ratios[name]:.2f}'
            for name in goodputs
        ),
        round(flood_result.slots_used, 3),
    )


def _result(
    flood: str,
    factor: int,
    setup: BrokerSetup,
    seed: int,
    delay_s: float,
    ordinary: Sequence[virtual.Stream] = ORDINARY,
) -> results.FloodResult:
    flooded_stream = FLOODED_BY_NAME[flood]
    baseline = summaries(_run(setup, seed, delay_s, ordinary))
    flood_stream = dataclasses.replace(
        flooded_stream,
        name='flood',
        peak=factor,
        load=functools.partial(_flood_load, factor),
    )
    outcomes = _run(setup, seed, delay_s, (*ordinary, flood_stream))
    under_flood = summaries(outcomes)
    others = [each.name for each in ordinary if each is not flooded_stream]
    return results.FloodResult(
        flood=flood,
        factor=factor,
        setup=setup.name,
        goodput_by_kind={
            name: under_flood[name].good / baseline[name].good
            for name in others
        },
        p99_ratio_by_kind={
            name: under_flood[name].p99_s / baseline[name].p99_s
            for name in others
        },
        slots_used=slot_use(outcomes),
    )


def _flood_load(factor: int, now_s: float) -> float:
    # The flood starts inside the measured window.
    return factor if now_s >= WARM_UP_S else 0


def _run(
    setup: BrokerSetup,
    seed: int,
    delay_s: float,
    streams: Sequence[virtual.Stream],
) -> list[virtual.Outcome]:
    simulation = virtual.BrokerSimulation(
        preset_of(setup), seed, delay_s, setup.shared
    )
    return simulation.run(streams, END_S)
