"""How long a healthy run may show no progress."""

from jackdawlatch.policy import stalls
from jackdawlatch.testing import functions

SHORT_S = 60
HOUR_S = 3600


def test_stall_of_a_short_task_is_found_late():
    assert _tolerated_s(estimate_s=SHORT_S) == stalls.STALL_S
    assert _tolerated_s(estimate_s=-HOUR_S) == stalls.STALL_S
    assert _tolerated_s(shown_s=0.6) == stalls.STALL_S


def test_run_slower_than_its_estimate_is_stalled():
    assert _tolerated_s(estimate_s=HOUR_S) == HOUR_S / 100 * stalls.SLOWDOWN


def test_run_slower_than_others_is_stalled():
    tolerated_s = _tolerated_s(estimate_s=SHORT_S, shown_s=7)
    assert tolerated_s == 7 * stalls.SLOWDOWN


def test_task_stalls_without_end():
    for doublings in range(4):
        expected_s = stalls.STALL_S * 2**doublings
        assert _tolerated_s(stalls_before=doublings) == expected_s


def test_odd_numbers_make_a_stall_invisible():
    assert _tolerated_s(estimate_s=1e300) == stalls.MAX_ESTIMATED_S
    assert _tolerated_s(stalls_before=10**6) > HOUR_S


def _tolerated_s(
    estimate_s: float = 0, shown_s: float = 0, stalls_before: int = 0
) -> float:
    return stalls.tolerated_s(stalls.Pace(estimate_s, shown_s, stalls_before))


load_tests = functions.loader(__name__)
