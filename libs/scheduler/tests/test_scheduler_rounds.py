"""Planning leaves time for the workers, however long the queue is."""

import asyncio
from unittest import mock

import scheduler_bench as benches

from jackdawlatch.jobs import queues
from jackdawlatch.model import clocks
from jackdawlatch.scheduler import (
    cluster_state,
    lateness,
    persistence,
    planner,
    rounds,
)
from jackdawlatch.testing import functions

LONG_ROUND_S = 0.125
# Of a queue of about two thousand jobs.
USUAL_ROUND_S = 0.03
FROZEN_ROUND_S = 20


class FakeDispatcher:
    """Starts nothing."""

    def place(self, placements: list[object]) -> None:
        """Ignore the placements."""


async def test_long_round_is_followed_by_as_long_a_pause():
    pauses = await _pauses(LONG_ROUND_S)
    assert pauses[0] == rounds.PLAN_DELAY_S
    assert min(pauses[1:]) >= LONG_ROUND_S


async def test_rounds_take_half_of_the_loop():
    pauses = await _pauses(USUAL_ROUND_S)
    # Starts, polls and the pools share the rest.
    assert min(pauses[1:]) >= 3 * USUAL_ROUND_S


async def test_pause_after_a_frozen_round_is_bounded():
    assert max(await _pauses(FROZEN_ROUND_S)) <= rounds.MAX_PAUSE_S


async def _pauses(round_s: float) -> list[float]:
    clock = clocks.ManualClock(start_s=100)
    cluster = cluster_state.ClusterState(
        cluster_state.Dependencies(
            clock,
            persistence.ProgressWriter(
                benches.Bench().store, persistence.Term('a', 1)
            ),
            benches.decision_log(),
            cluster_state.Bounds(lease_s=2, stop_s=0.1),
        ),
        queues.Catalog(1, ()),
    )
    planning = rounds.PlanningRounds(
        rounds.Dependencies(
            cluster,
            FakeDispatcher(),
            benches.FakeAdvice(),
            lateness.Lateness(),
            leading=lambda: True,
            withheld=tuple,
        )
    )
    pauses: list[float] = []

    async def sleep(pause_s: float) -> None:
        pauses.append(pause_s)
        if len(pauses) > 2:
            raise asyncio.CancelledError
        planning.wake()

    def plan(*_arguments: object) -> planner.Plan:
        clock.advance(round_s)
        planning.wake()
        return planner.Plan([], [])

    planning.wake()
    with (
        mock.patch.object(planner.Planner, 'plan', plan),
        mock.patch.object(asyncio, 'sleep', sleep),
    ):
        loop = planning.loops()[0]
        await asyncio.gather(loop(), return_exceptions=True)
    return pauses


load_tests = functions.loader(__name__)
