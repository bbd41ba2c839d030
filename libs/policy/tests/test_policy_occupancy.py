"""Services in their turn get the machines that their jobs use."""

import random

from jackdawlatch.policy import division, occupancy
from jackdawlatch.testing import functions


def test_job_counts_with_tasks_that_may_start():
    steps = [_step(4), _step(8, after=(0,))]
    assert occupancy.widest_machines(steps) == 4
    assert occupancy.needed_machines(steps) == 2
    # Most tasks of the first step have ended: the next one will need more soon.
    ending = [_step(1), _step(8, after=(0,))]
    assert 1 < occupancy.needed_machines(ending) < 4
    ended = [_step(0), _step(8, after=(0,))]
    assert occupancy.needed_machines(ended) == 4


def test_job_without_estimates_counts_as_widest():
    steps = [_step(2, task_s=0), _step(6, task_s=0, after=(0,))]
    assert occupancy.needed_machines(steps) == 3


def test_running_jobs_do_not_keep_idle_machines():
    # A turn of jobs with two steps, at any stage; each task of 0.5 machines.
    draws = random.Random(5)
    needed: float = 0
    held: float = 0
    for _ in range(500):
        first = draws.randint(0, 8)
        second = 8 if first else draws.randint(1, 8)
        steps = [_step(first), _step(second, after=(0,))]
        needed += occupancy.needed_machines(steps)
        held += 0.5 * (first or second)
    widest = 500 * occupancy.widest_machines([_step(8)])
    assert held <= needed < held * 1.2
    assert needed < widest * 0.8


def test_jobs_in_time_get_machines_before_late_ones():
    in_time, late = {'a': 6, 'b': 2}, {'a': 4, 'c': 4}
    divided = division.divide(in_time, late, machines=12)
    assert divided == {'a': 8, 'b': 2, 'c': 2}
    divided = division.divide(in_time, late, machines=4)
    assert divided == {'a': 3, 'b': 1, 'c': 0}


def _step(open_count, task_s=1.0, step_s=None, after=()):
    return occupancy.StepWork(
        open_count=open_count,
        share=0.5,
        task_s=task_s,
        step_s=2 * task_s if step_s is None else step_s,
        after=after,
    )


load_tests = functions.loader(__name__, {})
