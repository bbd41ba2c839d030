"""Work done in deadline while queues ask for more by turns."""

import collections
import dataclasses
import functools
from collections.abc import Iterator, Sequence

from measure import base, flood, virtual

TURN_S = 4.0
TURNS = 5
# Five times the mean in its turn, a twentieth of it in between.
BUSY_LOAD = 1.25
IDLE_LOAD = 0.0125


def _load(turn: int, share: float, now_s: float) -> float:
    busy = int(now_s / TURN_S) % TURNS == turn
    return share * (BUSY_LOAD if busy else IDLE_LOAD)


def services_in_turn() -> tuple[virtual.Stream, ...]:
    """Return the streams of one service, which all have the same turn."""
    total = sum(stream.load(0) for stream in flood.ORDINARY)
    return tuple(
        dataclasses.replace(
            stream, load=functools.partial(_load, 0, stream.load(0) / total)
        )
        for stream in flood.ORDINARY
    )


def kinds_in_turn() -> tuple[virtual.Stream, ...]:
    """Return the streams of one service, each with a turn of its own."""
    return tuple(
        dataclasses.replace(stream, load=functools.partial(_load, turn, 1))
        for turn, stream in enumerate(flood.ORDINARY)
    )


def bound_s(outcomes: Sequence[virtual.Outcome], end_s: float) -> float:
    """Return the most slot-seconds that could end in deadline.

    An all-seeing assignment can do no more of a stream than what is offered,
    and than all slots can do until the deadline of its last request.
    """
    offered_s: collections.Counter[str] = collections.Counter()
    most_s: dict[str, float] = {}
    for outcome in outcomes:
        offered_s[outcome.stream] += outcome.service_s
        lasting_s = TURN_S * (end_s / TURN_S / TURNS) + outcome.budget_s
        most_s[outcome.stream] = virtual.TOTAL_SLOTS * lasting_s
    return sum(min(offered_s[stream], most_s[stream]) for stream in offered_s)


class Turns(base.Measure):
    """Each queue in its turn asks five times its mean."""

    name = 'turns'

    def run(self, seed: int) -> Iterator[base.Table]:
        """Measure both deployments."""
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
        'services': services_in_turn(),
        'kinds of one service': kinds_in_turn(),
    }
    for name, streams in streams_by_name.items():
        for way in flood.WAYS:
            preset = flood.preset_of(way)
            loop = virtual.Loop(preset, seed, delay_s, way.shared)
            outcomes = loop.run(streams, end_s)
            done_s = sum(each.service_s for each in outcomes if each.good)
            offered_s = sum(each.service_s for each in outcomes)
            yield (
                name,
                way.name,
                round(done_s / bound_s(outcomes, end_s), 3),
                round(done_s / offered_s, 3),
            )
