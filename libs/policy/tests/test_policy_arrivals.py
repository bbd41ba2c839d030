"""The beginning of a turn is recognized by its arrivals."""

import itertools
import random

from jackdawlatch.policy import arrivals
from jackdawlatch.testing import functions


def test_turn_counts_before_its_jobs_pile_up():
    # 45 jobs a second, each one machine-second, for the last 0.6 s.
    early = arrivals.expected_machines(_works(27))
    assert 30 < early < 45


def test_few_jobs_together_are_no_turn():
    assert not arrivals.expected_machines([])
    assert not arrivals.expected_machines([5.0])
    # Two jobs a second ask for no more than they keep busy on average.
    draws = random.Random(3)
    expected = [
        arrivals.expected_machines(_works(_poisson(draws, 1.2)))
        for _ in range(500)
    ]
    assert sum(expected) / len(expected) < 2


def test_long_jobs_count_for_the_near_future():
    """Guards against two long jobs that get the machines of all services."""
    assert arrivals.near_work_s(2.0, 4) == 2
    assert arrivals.near_work_s(1.0, 0) == 1
    long_jobs = [arrivals.near_work_s(600, 600) for _ in range(2)]
    assert arrivals.expected_machines(long_jobs) < 10


def _works(count: int) -> list[float]:
    """Return the work of some jobs of one machine-second."""
    return list(itertools.repeat(1.0, count))


def _poisson(draws: random.Random, mean: float) -> int:
    count = 0
    left = draws.expovariate(1)
    while left < mean:
        left += draws.expovariate(1)
        count += 1
    return count


load_tests = functions.loader(__name__, {})
