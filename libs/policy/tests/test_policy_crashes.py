"""Replays crashes of workers, and which tasks are given up for them."""

import dataclasses
import math
import random

from jackdawlatch.policy import crashes
from jackdawlatch.testing import functions

# The users allow this many starts before they call it a fault.
MAX_STARTS = 5


def test_run_that_had_just_started_is_blamed():
    assert crashes.is_blamed(_lost(0.01))
    assert crashes.is_blamed(_lost(crashes.SURVIVAL_S))


def test_run_that_went_on_is_not_blamed():
    assert not crashes.is_blamed(_lost(2))
    # The last start, in a loss that was noticed late.
    started = _lost(4, last_s=4, suspected=True)
    confirmed = dataclasses.replace(started, confirmed_s=3)
    assert not crashes.is_blamed(confirmed)


def test_last_start_is_blamed_for_a_loss_noticed_late():
    assert crashes.is_blamed(_lost(4, last_s=4))
    assert not crashes.is_blamed(_lost(6, last_s=4))


def test_mass_loss_is_blamed_on_suspects_only():
    for suspected in (False, True):
        lost = dataclasses.replace(
            _lost(0.01, suspected=suspected), lost_workers=crashes.MASS_LOSS
        )
        assert crashes.is_blamed(lost) is suspected


def test_unknown_start_is_blamed_on_suspects_only():
    for suspected in (False, True):
        lost = _lost(math.inf, suspected=suspected)
        assert crashes.is_blamed(lost) is suspected


def test_losses_without_proof_give_a_task_up():
    """Guards against a job that fails since its workers were cut off."""
    for proven in range(crashes.MIN_PROVEN):
        assert not crashes.is_given_up(10, proven)
    assert crashes.is_given_up(crashes.MAX_CRASHES, crashes.MIN_PROVEN)


def test_isolated_tasks_leave_workers_to_others():
    for total in (1, 2, 3, 8, 100):
        lost = 0
        while crashes.may_isolate(total - lost, trying=0, lost=lost):
            lost += 1
        assert 0 < lost <= (total + 1) / 2
    assert not crashes.may_isolate(usable=8, trying=4, lost=0)


def test_few_losses_raise_the_limit():
    """Guards against a crashing task that is started again and again."""
    for recent, workers in ((0, 0), (0, 30), (3, 1), (14, 30), (60, 30)):
        limit = crashes.crashes_to_give_up(recent, workers)
        assert limit == crashes.MAX_CRASHES, (recent, workers)
    assert crashes.crashes_to_give_up(54, 8) > crashes.MAX_CRASHES


def test_only_the_deadly_task_is_given_up():
    """Replays 10 tasks that start together, of which one is deadly.

    Later starts are apart, and one worker in fifty crashes by itself.
    """
    for seed in range(50):
        chance = random.Random(seed)
        neighbours = dict.fromkeys(range(9), 1)
        crash_count = 1
        while not crashes.is_given_up(crash_count, crash_count):
            crash_count += 1
            for task, count in neighbours.items():
                crashed = count and not chance.randrange(50)
                neighbours[task] = (count + 1) * crashed
                count = neighbours[task]
                assert not crashes.is_given_up(count, count), seed
        # It is started once for each crash.
        assert crash_count <= MAX_STARTS


def _lost(
    sent_before_s: float, last_s: float = 0, suspected: bool = False
) -> crashes.LostRun:
    return crashes.LostRun(0, sent_before_s, last_s, suspected)


load_tests = functions.loader(__name__)
