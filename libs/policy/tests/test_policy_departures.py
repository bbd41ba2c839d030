"""Which runs are stopped before their worker leaves."""

import math

from jackdawlatch.policy import departures
from jackdawlatch.testing import functions

STOP_S = 0.2
EARLY_S = 4.0
LATE_S = 0.5


def test_lasting_task_leaves_as_soon_as_it_has_a_place():
    assert departures.must_stop(_lasting(replaceable=True), EARLY_S, STOP_S)
    placed = _lasting(replaceable=True)
    assert departures.must_stop(placed, math.inf, STOP_S)


def test_lasting_task_without_a_place_stays():
    staying = _lasting(replaceable=False)
    assert not departures.must_stop(staying, EARLY_S, STOP_S)
    assert not departures.must_stop(staying, math.inf, STOP_S)
    assert departures.must_stop(staying, LATE_S, STOP_S)


def test_task_that_ends_in_time_is_not_stopped():
    assert not departures.must_stop(_ending(0.4), LATE_S, STOP_S)
    assert not departures.must_stop(_ending(math.inf), EARLY_S, STOP_S)


def test_task_that_outlasts_the_worker_is_stopped():
    assert departures.must_stop(_ending(0.6), LATE_S, STOP_S)
    assert departures.must_stop(_ending(math.inf), LATE_S, STOP_S)


def test_time_left_follows_from_the_reported_progress():
    assert departures.left_s(1, reported_age_s=1, percent=25) == 3
    assert departures.left_s(2, reported_age_s=1, percent=25) == 2
    assert departures.left_s(9, reported_age_s=1, percent=25) == 0
    assert departures.left_s(1, reported_age_s=1, percent=0) == math.inf


def _lasting(replaceable: bool) -> departures.HeldRun:
    return departures.HeldRun(
        lasting=True, left_s=math.inf, replaceable=replaceable
    )


def _ending(left_s: float) -> departures.HeldRun:
    return departures.HeldRun(lasting=False, left_s=left_s, replaceable=False)


load_tests = functions.loader(__name__)
