"""Surplus machines are kept free for others, but only for a limited time."""

from collections.abc import Iterable

from jackdawlatch.policy import transfers, withholding
from jackdawlatch.testing import functions

STEP_S = 0.2
# Ready work may wait this long beside free capacity.
ALLOWED_WAIT_S = 3


def test_service_with_a_surplus_is_vacated_for_another():
    machines = [_machine('m0'), _machine('m1', used_share=1)]
    assert transfers.vacate(machines, {'a': 1, 'b': -9}, missing=9) == machines
    assert not transfers.vacate(machines, {'a': 0, 'b': -9}, missing=9)


def test_machine_with_lasting_runs_is_not_vacated():
    machines = [_machine('m0', lasting_count=1), _machine('m1')]
    chosen = transfers.vacate(machines, {'a': 2, 'b': -2}, missing=2)
    assert [machine.id for machine in chosen] == ['m1']


def test_late_demand_alone_withholds_nothing():
    machines = [_machine('m0'), _machine('m1')]
    assert not transfers.vacate(machines, {'a': 2, 'b': -2}, missing=0)


def test_idle_machine_that_cannot_move_is_released():
    withheld_steps = _replay(used_share=0)
    assert _longest(withheld_steps) * STEP_S < ALLOWED_WAIT_S


def test_machine_with_most_capacity_free_is_released():
    withheld_steps = _replay(used_share=0.25)
    assert _longest(withheld_steps) * STEP_S < ALLOWED_WAIT_S


def test_machine_that_never_becomes_idle_is_released():
    withheld_steps = _replay(used_share=1)
    assert _longest(withheld_steps) * STEP_S <= withholding.MAX_WITHHELD_S


def test_gang_finds_all_machines_of_a_service_at_once():
    open_steps = [not withheld for withheld in _replay(1, max_machines=4)]
    assert _longest(open_steps) * STEP_S >= withholding.REST_S - STEP_S


def test_withholding_ends_without_another_round():
    machine = _machine('m0')
    kept_free = withholding.Withholding()
    kept_free.replace([machine], now_s=0)
    assert kept_free.machines(now_s=1)
    assert not kept_free.machines(now_s=ALLOWED_WAIT_S)


def test_short_withholding_does_not_bar_the_next_turn():
    machine = _machine('m0', used_share=1)
    kept_free = withholding.Withholding()
    kept_free.replace([machine], now_s=0)
    kept_free.replace([], now_s=0.2)
    # Eight seconds later another service has its turn.
    withheld = []
    for step in range(25):
        now_s = 8 + step * STEP_S
        kept_free.replace([machine], now_s)
        withheld.append(machine.id in kept_free.machines(now_s))
    assert all(withheld)


def _replay(used_share: float, max_machines: int = 1) -> list[frozenset[str]]:
    """Return what is withheld in each step of a day on which no move succeeds.

    Up to ``max_machines`` are vacated at different times.
    """
    kept_free = withholding.Withholding()
    withheld = []
    for step in range(300):
        now_s = step * STEP_S
        machines = [
            _machine(f'm{number}', used_share)
            for number in range(1 + step % max_machines)
        ]
        kept_free.replace(machines, now_s)
        withheld.append(kept_free.machines(now_s))
    return withheld


def _longest(steps: Iterable[object]) -> int:
    """Return the length of the longest series of true steps."""
    longest = 0
    length = 0
    for step in steps:
        length = length + 1 if step else 0
        longest = max(longest, length)
    return longest


def _machine(
    name: str, used_share: float = 0, lasting_count: int = 0
) -> transfers.PoolMachine:
    return transfers.PoolMachine(name, 'a', used_share, lasting_count)


load_tests = functions.loader(__name__)
