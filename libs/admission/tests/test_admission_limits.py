import collections

from jackdawlatch.admission import limits, retries
from jackdawlatch.model import presets, shares, work
from jackdawlatch.testing import functions


def test_static_slots_of_all_entries_cover_every_slot() -> None:
    slots_by_host = {f'runner-{number}': 8 for number in range(6)}
    entries = [f'entry-{number}' for number in range(7)]
    dealt: collections.Counter[str] = collections.Counter()
    for entry in entries:
        own = limits.static_slots(slots_by_host, entries, entry)
        assert sum(own.values()) in {6, 7}
        dealt.update(own)
    assert dealt == slots_by_host


def test_static_share_is_at_least_one_slot() -> None:
    entries = [f'entry-{number}' for number in range(9)]
    for entry in entries:
        own = limits.static_slots({'a': 2, 'b': 2}, entries, entry)
        assert sum(own.values()) == 1
    assert limits.static_connections(60, 7) == 8


def test_retries_stay_within_their_ratio() -> None:
    budget = retries.RetryBudget(0.1)
    spent = 0
    for _ in range(10_000):
        budget.attempted()
        spent += budget.spend()
    assert spent <= 10_000 * 0.1 + retries.MAX_TOKENS
    assert spent >= 10_000 * 0.1 - 1
    assert not retries.RetryBudget(0).spend()


def test_most_specific_share_wins() -> None:
    weights = shares.Weights(
        (
            presets.Share(weight=2),
            presets.Share(team='desk', weight=3),
            presets.Share(service='match', team='desk', weight=5),
        )
    )
    assert weights.weight(work.Kind(service='match', team='desk')) == 5
    assert weights.weight(work.Kind(service='pickup', team='desk')) == 3
    assert weights.weight(work.Kind(service='pickup')) == 2


load_tests = functions.loader(__name__)
