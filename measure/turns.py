"""Work finished within its deadline while kinds of work burst in turn."""

import collections
import dataclasses
import functools
from collections.abc import Iterator, Sequence

from measure import base, flood, virtual

TURN_S = 4.0
TURNS = 5
# Five times the mean load during a burst, a twentieth of it otherwise.
BUSY_LOAD = 1.25
IDLE_LOAD = 0.0125


def _load(turn: int, share: float, now_s: float) -> float:
    busy = int(now_s / TURN_S) % TURNS == turn
    return share * (BUSY_LOAD if busy else IDLE_LOAD)


def burst_together() -> tuple[virtual.Stream, ...]:
    """Return the streams of a service that all burst at the same time."""
    total = sum(stream.peak for stream in flood.ORDINARY)
    return tuple(
        dataclasses.replace(
            stream,
            peak=BUSY_LOAD * stream.peak / total,
            load=functools.partial(_load, 0, stream.peak / total),
        )
        for stream in flood.ORDINARY
    )


def burst_in_turn() -> tuple[virtual.Stream, ...]:
    """Return the streams of a service that burst one after the other."""
    return tuple(
        dataclasses.replace(
            stream, peak=BUSY_LOAD, load=functools.partial(_load, turn, 1)
        )
        for turn, stream in enumerate(flood.ORDINARY)
    )


def upper_bound_s(outcomes: Sequence[virtual.Outcome], end_s: float) -> float:
    """Return an upper bound of the slot-seconds finished within deadlines.

    Even a scheduler that knows all arrivals can finish no more of a stream
    than what is offered, and than all slots do until its last deadline.
    """
    offered_s_by_stream: collections.Counter[str] = collections.Counter()
    limit_s_by_stream: dict[str, float] = {}
    for outcome in outcomes:
        offered_s_by_stream[outcome.stream] += outcome.service_s
        lasting_s = TURN_S * (end_s / TURN_S / TURNS) + outcome.budget_s
        limit_s_by_stream[outcome.stream] = virtual.TOTAL_SLOTS * lasting_s
    return sum(
        min(offered_s_by_stream[stream], limit_s_by_stream[stream])
        for stream in offered_s_by_stream
    )


class Turns(base.Benchmark):
    """Each stream in turn offers five times its mean load."""

    name = 'turns'

    def run(self, seed: int) -> Iterator[base.Table]:
        """Measure with the network delay of each deployment."""
        for deployment, delay_s in flood.DELAYS_S.items():
            yield base.Table(
                title=f'Demand by turns, {deployment}',
                note=(
                    'Slot-seconds done in deadline over an upper bound of '
                    'what an all-seeing assignment could do.'
                ),
                columns=('turns of', 'way', 'done over bound', 'done'),
                rows=tuple(_rows(seed, delay_s)),
            )


def _rows(seed: int, delay_s: float) -> Iterator[tuple[base.Cell, ...]]:
    end_s = TURNS * TURN_S
    streams_by_name = {
        'services': burst_together(),
        'kinds of one service': burst_in_turn(),
    }
    for name, streams in streams_by_name.items():
        for setup in flood.BROKER_SETUPS:
            preset = flood.preset_of(setup)
            simulation = virtual.BrokerSimulation(
                preset, seed, delay_s, setup.shared
            )
            outcomes = simulation.run(streams, end_s)
            done_s = sum(each.service_s for each in outcomes if each.good)
            offered_s = sum(each.service_s for each in outcomes)
            yield (
                name,
                setup.name,
                round(done_s / upper_bound_s(outcomes, end_s), 3),
                round(done_s / offered_s, 3),
            )
