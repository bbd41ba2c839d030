"""What waits in overload is what costs callers least."""

import dataclasses
import random

from jackdawlatch.policy import precedence
from jackdawlatch.testing import functions

# About the largest tenth of the drawn jobs.
LARGE = 2

JOB = precedence.Candidate(
    lasting=False,
    within_share=True,
    priority=1,
    slack_s=2,
    objective_s=4,
    work=1,
    total_work=1,
    mean_work=1,
)


def test_flood_of_one_team_goes_behind_late_jobs():
    flood = dataclasses.replace(JOB, within_share=False)
    late = dataclasses.replace(JOB, slack_s=-1)
    useless = dataclasses.replace(JOB, slack_s=-9)
    lasting = dataclasses.replace(JOB, lasting=True, slack_s=-99)
    urgent = dataclasses.replace(JOB, priority=0)
    ordered = [lasting, urgent, JOB, late, useless, flood]
    assert sorted(reversed(ordered), key=precedence.key) == ordered


def test_begun_job_is_finished_before_an_equal_one():
    begun = dataclasses.replace(JOB, work=0.2)
    assert precedence.key(begun) < precedence.key(JOB)


def test_job_that_can_wait_lets_an_equal_one_pass():
    pressed = dataclasses.replace(JOB, slack_s=0.1)
    assert precedence.key(pressed) < precedence.key(JOB)


def test_largest_jobs_are_not_starved():
    served, value = _replay(precedence.key)
    smallest_first, least_value = _replay(_smallest_first)
    # Of jobs over 1.5 times the capacity, the largest tenth is served at least
    # half as often as all, and more often than if the smallest always went first.
    assert served[1] > 0.5 * served[0]
    assert served[1] > 1.1 * smallest_first[1]
    assert value > 0.99 * least_value


def _smallest_first(job: precedence.Candidate) -> tuple[float, ...]:
    return (job.late, job.work)


def _replay(key) -> tuple[tuple[float, float], float]:
    """Serve jobs one by one in the order of ``key``.

    Returns which share of all and of the largest jobs was in time, and the
    value of these.
    """
    draws = random.Random(11)
    largest = []
    served = []
    waiting: list[tuple[float, float]] = []
    now_s: float = 0
    arrival_s: float = 0
    while now_s < 1000:
        while arrival_s <= now_s:
            waiting.append((arrival_s, draws.lognormvariate(-0.4, 0.9)))
            largest.append(waiting[-1][1] > LARGE)
            arrival_s += draws.expovariate(1.5)
        waiting = [job for job in waiting if not _candidate(job, now_s).late]
        if not waiting:
            now_s = arrival_s
            continue
        keys = [key(_candidate(job, now_s)) for job in waiting]
        _, work = waiting.pop(keys.index(min(keys)))
        now_s += work
        served.append(work)
    count = sum(work > LARGE for work in served)
    shares = (len(served) / len(largest), count / sum(largest))
    return shares, sum(0.3 + 0.7 * work for work in served)


def _candidate(job: tuple[float, float], now_s: float) -> precedence.Candidate:
    """Return a job that takes as long as its work, with a slack of 0.6 of it."""
    accepted_s, work = job
    return dataclasses.replace(
        JOB,
        work=work,
        total_work=work,
        slack_s=3 + 0.6 * work - (now_s - accepted_s),
    )


load_tests = functions.loader(__name__, {})
