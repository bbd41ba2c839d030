import itertools
import math

import hypothesis
from hypothesis import strategies  # noqa: WPS458 settings are no module.

from jackdawlatch.admission import allotments, fair, policies, tickets, usage
from jackdawlatch.model import presets, work
from jackdawlatch.testing import functions

SLOTS = 8
DEMANDS = strategies.lists(
    strategies.builds(
        allotments.Demand,
        level=strategies.integers(1, 100),
        weight=strategies.sampled_from((0.5, 1, 4)),
    ),
    max_size=8,
)


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(demands=DEMANDS, capacity=strategies.integers(0, 60))
def test_water_level_leaves_no_wanted_slot(
    demands: list[allotments.Demand], capacity: int
) -> None:
    level = allotments.water_level(demands, capacity)
    used = sum(min(demand.level, level) * demand.weight for demand in demands)
    wanted = sum(demand.level * demand.weight for demand in demands)
    assert math.isclose(used, min(capacity, wanted), abs_tol=1e-6)


CLAIMS = strategies.lists(
    strategies.builds(
        allotments.Claim,
        slots=strategies.integers(1, 100),
        weight=strategies.sampled_from((0.5, 1, 4)),
        usual=strategies.integers(0, 60),
    ),
    min_size=1,
    max_size=8,
)


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(claims=CLAIMS, capacity=strategies.integers(0, 60))
def test_allotments_keep_the_guaranteed_part(
    claims: list[allotments.Claim], capacity: int
) -> None:
    allotted = allotments.allot(claims, capacity)
    wanted = sum(claim.slots for claim in claims)
    total = min(capacity, wanted)
    assert math.isclose(sum(allotted), total, abs_tol=1e-6)
    weight = sum(claim.weight for claim in claims)
    for claim, slots in zip(claims, allotted, strict=True):
        sure = min(claim.slots, capacity * claim.weight / weight)
        assert sure - 1e-6 <= slots <= claim.slots + 1e-6


def test_lent_slots_go_first_to_their_usual_holder() -> None:
    usual = allotments.Claim(slots=30, weight=1, usual=20)
    flood = allotments.Claim(slots=500, weight=1, usual=8)
    light = allotments.Claim(slots=6, weight=1, usual=6)
    allotted = allotments.allot((usual, flood, light), 48)
    assert allotted == [23, 19, 6]


def test_usage_is_a_mean_over_time() -> None:
    held = usage.Usage()
    held.record(0, 100)
    held.record(8, 101)
    assert math.isclose(held.mean, 8)
    held.skip(200)
    held.record(2, 200 + 20 * usage.TIME_CONSTANT_S)
    assert math.isclose(held.mean, 2, abs_tol=1e-6)


def test_flood_that_holds_all_slots_gives_way() -> None:
    for flood_urgency, other_urgency in itertools.permutations(
        (work.Urgency.URGENT, work.Urgency.BATCH)
    ):
        flood = work.Kind(service='match', team='a', urgency=flood_urgency)
        other = work.Kind(service='match', team='b', urgency=other_urgency)
        policy = policies.create(presets.Preset(name='test'), SLOTS)
        numbers = itertools.count()
        for kind in itertools.repeat(flood, 20):
            _offer(policy, kind, next(numbers))
        for _ in range(SLOTS):
            policy.next(0)
        for kind in itertools.repeat(other, 20):
            _offer(policy, kind, next(numbers))
        granted = []
        for _ in range(SLOTS // 2):
            policy.finished(flood, 0, 1)
            granted.append(policy.next(1))
        assert [each.kind for each in granted if each] == list(
            itertools.repeat(other, 4)
        )
        policy.finished(flood, 0, 1)
        last = policy.next(1)
        assert last
        assert last.kind == flood


def test_flood_that_lasts_does_not_become_usual() -> None:
    kind = work.Kind(service='match')
    policy = fair.Fair(presets.Preset(name='test'), SLOTS)
    _offer(policy, kind, 0)
    policy.next(0)
    policy.finished(kind, 0, 10)
    for number in range(1, 100):
        _offer(policy, kind, number)
    for _ in range(SLOTS):
        policy.next(10)
    for step in range(10, 90):
        policy.finished(kind, step, step + 1)
        policy.next(step + 1)
    assert math.isclose(policy.usual(kind), 1)


def _offer(policy, kind: work.Kind, number: int) -> None:
    ticket = tickets.Ticket(id=str(number), kind=kind, deadline_s=1e9)
    policy.offer(ticket, 0)


load_tests = functions.loader(__name__)
