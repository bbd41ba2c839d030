"""A team's flood claims no more than its share, and its quota holds."""

import pickle

from jackdawlatch.policy import claims, quotas
from jackdawlatch.testing import functions

QUOTA = quotas.Resources(4000, 1000, 0)
TASK = quotas.Resources(1500, 100, 0)
NOTHING = quotas.Resources(0, 0, 0)


def test_flood_of_one_team_is_beyond_its_share():
    known = claims.Claims()
    flood = [known.claim('a', 10, number / 100) for number in range(300)]
    steady = [known.claim('b', 10, number / 9) for number in range(27)]
    # Three seconds at ten jobs a second, in whatever window they are counted.
    assert sum(flood) == 30
    assert all(sum(flood[at : at + 100]) <= 10 for at in range(200))
    assert all(steady)


def test_team_with_little_weight_claims_a_job_a_second():
    known = claims.Claims()
    assert [known.claim('a', 0.2, at) for at in (0, 0.5, 1, 1.5)] == [
        True,
        False,
        True,
        False,
    ]


def test_old_claims_are_dropped_whatever_the_weight():
    """Guards against counting all jobs of a term for each new one."""
    known = claims.Claims()
    sizes = []
    for number in range(9000):
        assert known.claim('a', 1e6, number / 100)
        sizes.append(len(pickle.dumps(known)))
    assert sizes[-1] <= 1.1 * sizes[6100]


def test_clock_that_is_ahead_does_not_raise_the_share():
    known = claims.Claims()
    within = [
        known.claim('a', 2, at + skew_s)
        for at in range(50, 60)
        for skew_s in (0, 0.1, 30, 0.2, 30.1)
    ]
    assert sum(within) == 40


def test_quota_bounds_each_resource():
    limit = QUOTA._replace(accelerators=2)
    need = TASK._replace(accelerators=1)
    assert quotas.admits(limit, quotas.Resources(2500, 900, 1), need)
    for held in ((2501, 900, 1), (2500, 901, 1), (2500, 900, 2)):
        assert not quotas.admits(limit, quotas.Resources(*held), need)


def test_task_over_its_quota_runs_alone():
    large = quotas.Resources(9000, 100, 0)
    assert quotas.admits(QUOTA, NOTHING, large)
    assert not quotas.admits(QUOTA, TASK, large)


def test_held_resource_does_not_block_other_tasks():
    """Guards against a waiting team after one of its limits has dropped."""
    limit = quotas.Resources(4000, 1000, 1)
    held = quotas.Resources(1000, 100, 3)
    assert quotas.admits(limit, held, TASK)
    assert not quotas.admits(limit, held, quotas.Resources(1000, 100, 1))


load_tests = functions.loader(__name__, {})
