"""Lateness of jobs whose estimates are rough, under overload."""

import math
import random

from jackdawlatch.policy import durations, objectives
from jackdawlatch.testing import functions

OBJECTIVE = objectives.Objective(slack_factor=1.6, target_s=0.6)
WIDTH = 8


def test_job_is_late_once_its_slack_is_used():
    steps = (
        objectives.StepTiming(1),
        objectives.StepTiming(1, after=(0,)),
    )
    assert _equal(objectives.slack_s(steps, OBJECTIVE, age_s=0), 1.8)
    assert objectives.slack_s(steps, OBJECTIVE, age_s=2) < 0


def test_time_of_a_started_step_is_not_counted_twice():
    steps = (
        objectives.StepTiming(1, done=True),
        objectives.StepTiming(1, after=(0,), elapsed_s=0.9),
    )
    assert _equal(objectives.slack_s(steps, OBJECTIVE, age_s=2.5), 1.2)


def test_only_the_longest_chain_counts():
    parallel = (objectives.StepTiming(1), objectives.StepTiming(2))
    assert _equal(objectives.slack_s(parallel, OBJECTIVE, 0), 1.8)


def test_wide_step_with_rough_estimate_is_not_late():
    """Replays jobs that start at once: none of them misses its objective.

    With the estimates alone, the longest of eight tasks seems to exceed the
    time that the objective allows.
    """
    random_numbers = random.Random(7)
    ratios = durations.DurationRatios()
    judged_late = 0
    for _ in range(200):
        estimate_s = 1
        longest_s = max(
            estimate_s * random_numbers.lognormvariate(0, 0.4)
            for _ in range(WIDTH)
        )
        expected_s = ratios.expected_s('q', estimate_s)
        half_way = objectives.StepTiming(expected_s, elapsed_s=longest_s)
        judged_late += objectives.slack_s([half_way], OBJECTIVE, longest_s) < 0
        ratios.record('q', longest_s, estimate_s)
    assert judged_late <= 4
    assert round(ratios.expected_s('q', 1)) == 2


def test_one_stalled_task_does_not_dominate():
    ratios = durations.DurationRatios()
    ratios.record('q', observed_s=500, estimate_s=1)
    assert ratios.expected_s('q', 1) < 2
    ratios.record('q', observed_s=1, estimate_s=0)
    assert ratios.expected_s('other', 2) > 2


def _equal(first: float, second: float) -> bool:
    return math.isclose(first, second, abs_tol=1e-6)


load_tests = functions.loader(__name__)
