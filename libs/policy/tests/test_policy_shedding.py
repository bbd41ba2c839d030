"""Jobs are refused only where their callers lose nothing by it."""

import collections

import shedding_replay

from jackdawlatch.policy import backlog, shedding
from jackdawlatch.testing import functions

CORES = 40
URGENT = shedding_replay.job(priority=0, chain_s=6)
SHORT = shedding_replay.job(priority=1, chain_s=0.5)
LARGE = shedding_replay.job(priority=1, chain_s=2, width=16)
LEVEL = backlog.Level(0, 1, 20, 30)


def _check(sent, cores, forecast):
    """Replay a load twice; return the jobs that are refused."""
    accepted = shedding_replay.replay(sent, cores, forecast, refuse=False)
    # Accepted all the same, they would have been of no use to their callers.
    assert not any(job.refusal and job.of_use for job in accepted)
    shed = shedding_replay.replay(sent, cores, forecast, refuse=True)
    before = {(job.sent_s, job.job) for job in accepted if job.of_use}
    after = {(job.sent_s, job.job) for job in shed if job.of_use}
    # No caller gets less for the refusals of others.
    assert before <= after
    return [job for job in shed if job.refusal]


def _constant(cores):
    return lambda now_s: backlog.Capacity(cores)


def test_two_bursts_beyond_the_fleet():
    sent = [
        *shedding_replay.burst(0, 6, 3 * CORES, URGENT),
        *shedding_replay.burst(0.01, 6, CORES, SHORT),
    ]
    refused = _check(sent, lambda now_s: CORES, _constant(CORES))
    # Work that can wait can't be done behind the urgent burst.
    assert refused
    assert {job.job.priority for job in refused} == {1}


def test_demand_by_turns_at_five_times_the_mean():
    def cores(now_s):
        # Each service has a quarter; the others' machines come in its turn.
        return CORES if 1500 < now_s * 1000 % 9000 < 6000 else CORES / 4

    def forecast(now_s):
        in_turn = now_s * 1000 % 9000 < 4500
        share = CORES if in_turn else CORES / 4
        return backlog.capacity(
            backlog.Share(cores(now_s), share, CORES), CORES
        )

    sent = []
    for turn in range(4):
        for kind in (URGENT, SHORT, LARGE):
            start_s = 9 * turn
            sent += shedding_replay.burst(start_s, 4.5, CORES / 2, kind)
            sent += shedding_replay.burst(start_s + 4.5, 4.5, 1, kind)
    _check(sent, cores, forecast)


def test_machines_of_others_are_counted_in_a_turn():
    # With its own machines alone the service would refuse what it can do.
    known = backlog.Backlog()
    for _ in range(20):
        known.add(backlog.OpenJob(0, 12, 2, 0, 0, 4, 25))
    alone = shedding.Load(known.levels(backlog.Capacity(CORES / 4)), 0)
    share = backlog.Share(CORES / 4, CORES, CORES)
    expected = backlog.capacity(share, others_core_s=20 * CORES)
    by_share = shedding.Load(known.levels(expected), 0)
    later = shedding_replay.job(priority=1, chain_s=2)
    assert shedding.decide(True, later, alone) is not None
    assert shedding.decide(True, later, by_share) is None
    share = backlog.Share(CORES / 4, CORES / 4, CORES)
    free = backlog.capacity(share, others_core_s=0)
    busy = backlog.capacity(share, others_core_s=20 * CORES)
    assert known.levels(free)[-1].late_wait_s < 20
    assert known.levels(busy)[-1].late_wait_s > 20


def test_loss_of_a_rack_in_a_burst():
    def cores(now_s):
        return CORES if now_s < 3 else CORES / 2

    sent = [
        *shedding_replay.burst(0, 8, 1.5 * CORES, URGENT),
        *shedding_replay.burst(0.01, 8, CORES, SHORT),
    ]
    assert _check(sent, cores, lambda now_s: backlog.Capacity(cores(now_s)))


def test_urgent_jobs_beside_ones_that_will_be_late():
    smallest = shedding_replay.job(priority=0, chain_s=0.5)
    sent = [
        *shedding_replay.burst(0, 20, 2 * CORES, LARGE),
        *shedding_replay.burst(0.01, 20, 4 * CORES, URGENT),
        *shedding_replay.burst(0.02, 20, CORES / 8, smallest),
    ]
    refused = _check(sent, lambda now_s: CORES, _constant(CORES))
    # Neither urgent work nor the smallest is behind the large jobs.
    assert {job.job for job in refused} == {LARGE}


def test_callers_that_all_retry_at_the_same_time():
    # Refused at once, they return over a drain time, not in the same second.
    count = 1000
    returns = collections.Counter(
        shedding.retry_after_s(20, number / count) for number in range(count)
    )
    assert min(returns) >= 20
    assert max(returns) <= 40
    assert max(returns.values()) <= 1.1 * count / 20
    assert shedding.retry_after_s(0.1, 0) == 1


def test_stale_forecast_refuses_nothing():
    for age_s, refused in ((0, True), (3, True), (3.1, False)):
        load = shedding.Load((LEVEL,), age_s)
        refusal = shedding.decide(True, SHORT, load)
        assert (refusal is not None) is refused
    assert shedding.decide(True, SHORT, None) is None
    assert shedding.decide(True, None, shedding.Load((LEVEL,), 0)) is None


def test_store_that_does_not_answer_refuses_everything():
    for job in (None, SHORT):
        refusal = shedding.decide(False, job)
        assert refusal.reason is shedding.Reason.STORE
        assert refusal.retry_after_s == 1


def test_no_level_without_overload():
    known = backlog.Backlog()
    known.add_running(CORES, 8)
    known.add(backlog.OpenJob(0, 40, 2, 30, 25, 4, 25))
    # Tasks on all machines end one after the other, and leave room beside a
    # job that can't use it.
    assert not known.levels(backlog.Capacity(CORES))
    # What a caller has no use for any more delays nobody.
    known.add(backlog.OpenJob(0, 10_000, 99, 0, 0, -20, -1))
    assert not known.levels(backlog.Capacity(CORES))


load_tests = functions.loader(__name__, {})
